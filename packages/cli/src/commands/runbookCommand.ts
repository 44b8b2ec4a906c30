import { exitCodes, type ExitCode } from "../exitCodes.js";
import { unknownNameError } from "../nearestName.js";
import type { Runbook } from "../runbooks/runbook.js";
import { RunbookRunner } from "../runbooks/runbookRunner.js";
import { runbooks } from "../runbooks/runbooks.js";
import { clientFor, type Command, type Invocation } from "./command.js";

/** `runbook`: lists, shows and runs the procedures of `runbooks.ts`. */
export const runbookCommand: Command = {
  name: "runbook",
  actions: ["list", "show", "run"],
  argument: "name",
  about: "list, show NAME, or run NAME",
  examples: [
    "runbook list",
    "runbook run empty-machine --machine storage-3 --dry-run --node 10.0.0.11:7100",
    "runbook run restart-node --target edge-1 --node 10.0.0.11:7100",
  ],
  options: [
    ["--dry-run", "Change nothing; say what each step would find"],
    ["--machine <name>", "For runbooks about a machine"],
    ["--lathe <name>", "For runbooks about a control node"],
    ["--zone <name>", "For runbooks about a zone"],
    ["--file <path>", "For runbooks that send a configuration"],
    ["--target <name>", "For runbooks about a node: its name"],
  ],
  async run(invocation) {
    if (invocation.action === "list") return list(invocation);
    const name = invocation.argument ?? "";
    const runbook = runbooks.find((candidate) => candidate.name === name);
    if (runbook === undefined)
      throw unknownNameError(
        "runbook",
        name,
        runbooks.map((known) => known.name),
      );
    return invocation.action === "show" ? show(invocation, runbook) : run(invocation, runbook);
  },
};

function list({ out, options }: Invocation): ExitCode {
  out.write(
    options["json"] === true
      ? `${JSON.stringify(runbooks.map(({ name, about, args }) => ({ name, about, args })))}\n`
      : runbooks.map(({ name, about }) => `${name.padEnd(16)} ${about}\n`).join(""),
  );
  return exitCodes.done;
}

function show({ out }: Invocation, { name, about, args, steps }: Runbook): ExitCode {
  out.write(`${name}: ${about}\n`);
  for (const [arg, meaning] of Object.entries(args)) out.write(`  --${flagOf(arg)}: ${meaning}\n`);
  for (const [i, { title, timeoutMs }] of steps.entries())
    out.write(`${i + 1}. ${title} (within ${timeoutMs / 1000} s)\n`);
  return exitCodes.done;
}

async function run(invocation: Invocation, runbook: Runbook): Promise<ExitCode> {
  const { out, err, options } = invocation;
  const args: Record<string, string> = {};
  for (const arg of Object.keys(runbook.args)) {
    const flag = flagOf(arg);
    if (options[flag] === undefined) throw new Error(`runbook ${runbook.name} needs --${flag}`);
    args[arg] = String(options[flag]);
  }
  const client = clientFor(invocation);
  const report = await new RunbookRunner({
    client,
    args,
    print: (line) => void err.write(`${line}\n`),
    wait: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
  }).run(runbook, options["dryRun"] === true);
  await client.close();
  if (options["json"] === true) out.write(`${JSON.stringify(report)}\n`);
  return report.isDone ? exitCodes.done : exitCodes.refused;
}

/** The option for a runbook's argument: `--node` names the node to call, so the argument `node` is `--target`. */
function flagOf(arg: string): string {
  return arg === "node" ? "target" : arg;
}
