#!/usr/bin/env node
import { Cli } from "./cli.js";

process.exitCode = await new Cli(process.stdout, process.stderr).run(process.argv);
