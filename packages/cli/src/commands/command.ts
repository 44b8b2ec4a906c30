import type { ExitCode } from "../exitCodes.js";
import { FleetClient, type FleetReply } from "../fleetClient.js";
import { exitCodes } from "../exitCodes.js";
import { unknownName } from "../nearestName.js";

/** Where a command writes: results to `out`, everything else to `err`. */
export interface Output {
  write(text: string): unknown;
}

/** What was typed after a command's name. */
export interface Invocation {
  readonly out: Output;
  readonly err: Output;
  /** The action, where the command has any; one of `Command.actions`. */
  readonly action: string;
  /** The argument behind the action: a file, a machine, a runbook. */
  readonly argument: string | undefined;
  /** Options by name without dashes, in camel case. */
  readonly options: Readonly<Record<string, unknown>>;
}

/** One command of `cranetrackctl`. */
export interface Command {
  readonly name: string;
  /** Empty where the command has none; else the words that may follow the name. */
  readonly actions: readonly string[];
  /** The name of the argument behind the action, as help shows it; undefined where none may follow. */
  readonly argument?: string;
  readonly about: string;
  /** Whole command lines without the program's name; help shows them. */
  readonly examples: readonly string[];
  readonly options?: ReadonlyArray<readonly [flag: string, about: string]>;
  /** The name and actions of before the standard terms, still accepted with a notice: earlier action to action. */
  readonly earlier?: { readonly name: string; readonly actions: Readonly<Record<string, string>> };
  run(invocation: Invocation): Promise<ExitCode>;
}

/** The action to run for what was typed; throws for one that the command does not have. */
export function actionFor(command: Command, typedName: string, typedAction: string): string {
  const earlier = typedName === command.earlier?.name ? command.earlier.actions : {};
  const action = Object.hasOwn(earlier, typedAction) ? earlier[typedAction]! : typedAction;
  if (!command.actions.includes(action)) throw unknownName(`action of ${command.name}`, typedAction, command.actions);
  return action;
}

/** A client of the nodes that `--node` or CRANETRACK_NODES names; throws where neither does. */
export function clientFor({ options }: Invocation): FleetClient {
  const nodes = options["node"] ?? process.env["CRANETRACK_NODES"];
  if (nodes === undefined) throw new Error("name a node with --node host:port, or several in CRANETRACK_NODES");
  return new FleetClient(String(nodes).split(","));
}

/** Makes one call to the fleet and prints its reply: as `text` puts it, or as JSON with `--json`. */
export async function callFleet(
  invocation: Invocation,
  send: (client: FleetClient) => Promise<FleetReply>,
  text: (body: Record<string, unknown>, raw: string) => string,
): Promise<ExitCode> {
  const client = clientFor(invocation);
  const reply = await send(client);
  await client.close();
  if (reply.status !== 200) return reportRefusal(invocation, reply);
  invocation.out.write(invocation.options["json"] === true ? `${reply.text}\n` : text(reply.body, reply.text));
  return exitCodes.done;
}

function reportRefusal({ err, options }: Invocation, reply: FleetReply): ExitCode {
  const fault = reply.body["error"] as
    { code: string; message: string; problems?: Array<{ path: string; problem: string }> } | undefined;
  if (options["json"] === true) err.write(`${reply.text || JSON.stringify(reply.body)}\n`);
  else {
    err.write(`cranetrackctl: ${fault?.message ?? reply.text} (${fault?.code ?? reply.status})\n`);
    for (const { path, problem } of fault?.problems ?? []) err.write(`  ${path}: ${problem}\n`);
    if (reply.retryAfterSeconds !== undefined) err.write(`  retry after ${reply.retryAfterSeconds} s\n`);
  }
  return reply.status === 0 || reply.status >= 500 ? exitCodes.unanswered : exitCodes.refused;
}
