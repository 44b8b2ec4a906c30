import type { ExitCode } from "../exitCodes.js";
import { FleetClient, type FleetReply } from "../fleetClient.js";
import { exitCodes } from "../exitCodes.js";
import { unknownNameError } from "../nearestName.js";

/** Where a command writes: results to `out`, everything else to `err`. */
export interface Output {
  write(text: string): unknown;
}

/** The parsed command line after the command's name, and where to write the output. */
export interface Invocation {
  readonly out: Output;
  readonly err: Output;
  /** One of `Command.actions`; empty if the command has no actions. */
  readonly action: string;
  /** The argument after the action: a file, a machine or a runbook. */
  readonly argument: string | undefined;
  /** Values of the options; the keys are their names in camel case, without dashes. */
  readonly options: Readonly<Record<string, unknown>>;
}

/** One command of `cranetrackctl`. */
export interface Command {
  readonly name: string;
  /** The words of which one must follow the name; empty if the command has no actions. */
  readonly actions: readonly string[];
  /** The name of the argument after the action, as help shows it; undefined if the command takes none. */
  readonly argument?: string;
  /** One line of description for help. */
  readonly about: string;
  /** Complete command lines without the program's name, which help shows. */
  readonly examples: readonly string[];
  readonly options?: ReadonlyArray<readonly [flag: string, about: string]>;
  /** The command's former name and its former actions (former action to present one), accepted with a notice. */
  readonly legacy?: { readonly name: string; readonly actions: Readonly<Record<string, string>> };
  /** Runs the command; throws for a usage error. */
  run(invocation: Invocation): Promise<ExitCode>;
}

/** The action that the typed words stand for; throws if the command does not have it. */
export function actionFor(command: Command, typedName: string, typedAction: string): string {
  const legacyActions = typedName === command.legacy?.name ? command.legacy.actions : {};
  const action = Object.hasOwn(legacyActions, typedAction) ? legacyActions[typedAction]! : typedAction;
  if (!command.actions.includes(action))
    throw unknownNameError(`action of ${command.name}`, typedAction, command.actions);
  return action;
}

/** A client for the nodes named by `--node` or CRANETRACK_NODES; throws if neither is set. */
export function clientFor({ options }: Invocation): FleetClient {
  const nodes = options["node"] ?? process.env["CRANETRACK_NODES"];
  if (nodes === undefined) throw new Error("name a node with --node host:port, or several in CRANETRACK_NODES");
  return new FleetClient(String(nodes).split(","));
}

/** Makes one call to the fleet and prints its reply: as JSON with `--json`, otherwise as `format` returns it. */
export async function callFleet(
  invocation: Invocation,
  send: (client: FleetClient) => Promise<FleetReply>,
  format: (body: Record<string, unknown>, raw: string) => string,
): Promise<ExitCode> {
  const client = clientFor(invocation);
  const reply = await send(client);
  await client.close();
  if (reply.status !== 200) return reportFailure(invocation, reply);
  invocation.out.write(invocation.options["json"] === true ? `${reply.text}\n` : format(reply.body, reply.text));
  return exitCodes.done;
}

function reportFailure({ err, options }: Invocation, reply: FleetReply): ExitCode {
  const error = reply.body["error"] as
    { code: string; message: string; problems?: Array<{ path: string; problem: string }> } | undefined;
  if (options["json"] === true) err.write(`${reply.text || JSON.stringify(reply.body)}\n`);
  else {
    err.write(`cranetrackctl: ${error?.message ?? reply.text} (${error?.code ?? reply.status})\n`);
    for (const { path, problem } of error?.problems ?? []) err.write(`  ${path}: ${problem}\n`);
    if (reply.retryAfterSeconds !== undefined) err.write(`  retry after ${reply.retryAfterSeconds} s\n`);
  }
  return reply.status === 0 || reply.status >= 500 ? exitCodes.unanswered : exitCodes.refused;
}
