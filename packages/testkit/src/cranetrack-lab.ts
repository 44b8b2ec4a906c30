#!/usr/bin/env node
/**
 * The test kit's program, with commands for running a fleet, load, chaos drills, soaks, the simulator, the model
 * checker, measurements and mutation testing. Exit codes: 0 passed, 1 a check failed, 2 the command line is wrong.
 */
import { cac } from "cac";
import { registerCapacity } from "./commands/capacityCommand.js";
import { registerCatchUp } from "./commands/catchUpCommand.js";
import { registerCost } from "./commands/costCommand.js";
import { registerDrill } from "./commands/drillCommand.js";
import { registerExplore } from "./commands/exploreCommand.js";
import { registerFleet } from "./commands/fleetCommand.js";
import { registerLoad } from "./commands/loadCommand.js";
import { registerMutants } from "./commands/mutantsCommand.js";
import { registerSim } from "./commands/simCommand.js";
import { registerSlope } from "./commands/slopeCommand.js";
import { registerSoak } from "./commands/soakCommand.js";
import { UnknownNameError } from "./names/knownName.js";

/** Former names of commands, still accepted. */
const renamedCommands: Readonly<Record<string, string>> = { sabotage: "mutants" };

const args = [...process.argv];
const current = renamedCommands[args[2] ?? ""];
if (current !== undefined) {
  process.stderr.write(`cranetrack-lab ${args[2]} is now called cranetrack-lab ${current}\n`);
  args[2] = current;
}

const cli = cac("cranetrack-lab");
cli.option("--set <list>", "Settings for all members, as key=number separated by commas");
const registrations = [registerFleet, registerLoad, registerDrill, registerSoak, registerSim, registerExplore];
const measurements = [registerCatchUp, registerCost, registerSlope, registerCapacity, registerMutants];
for (const register of [...registrations, ...measurements]) register(cli);
cli.help();
cli.version("0.1.0");

try {
  cli.parse(args, { run: false });
  const asked = cli.args[0];
  if (cli.matchedCommand !== undefined || cli.options["help"] === true || cli.options["version"] === true)
    await cli.runMatchedCommand();
  else if (asked === undefined) {
    cli.outputHelp();
    process.exitCode = 2;
  } else {
    const known = cli.commands.map(({ name }) => name);
    throw new UnknownNameError("command", asked, known);
  }
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  process.exitCode = process.exitCode === undefined || process.exitCode === 0 ? 2 : process.exitCode;
}
