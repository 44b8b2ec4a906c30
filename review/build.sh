#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules of Node.js and need no build: this only checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib/*.mjs [0-9]/case.mjs; do node --check "$module"; done
