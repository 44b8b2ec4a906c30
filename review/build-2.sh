#!/usr/bin/env bash
# The stand-ins of this review are plain modules without dependencies, so nothing has to be compiled: this checks that
# they can be parsed, and that the programs of the deploy file were built.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs [6-9]/case.mjs 10/case.mjs; do node --check "$module"; done
test -f ../target/edge.js && test -f ../target/storage.js
