import { FleetChecks } from "../fleetChecks.js";
import { FleetClient } from "../fleetClient.js";
import type { Check, Runbook, RunbookContext } from "./runbook.js";

const whole = FleetChecks.all(FleetChecks.allAlive, FleetChecks.allHeld, FleetChecks.fullStrength);

async function ask(
  context: RunbookContext,
  method: "PUT" | "DELETE",
  path: string,
  body?: string,
): Promise<string | undefined> {
  const reply = await context.client.call(method, path, body);
  const fault = reply.body["error"] as { message: string } | undefined;
  return reply.status === 200 ? undefined : `${reply.status}: ${fault?.message ?? reply.text}`;
}

/** Waits for somebody's hands: the node named must leave and come back with a new start. */
const restarted: Check = async (context) => {
  const seen = await FleetChecks.status(context);
  const member = seen?.members.find((one) => one.name === context.args["node"]);
  const own =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  const before = context.args["incarnation"];
  if (own?.status !== 200) return `${context.args["node"]} does not answer yet`;
  return String(own.body["incarnation"]) === before ? `${context.args["node"]} has not been restarted yet` : undefined;
};

async function remember(context: RunbookContext): Promise<string | undefined> {
  const seen = await FleetChecks.status(context);
  const member = seen?.members.find((one) => one.name === context.args["node"]);
  const own =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  if (own?.status !== 200) return `${context.args["node"]} does not answer`;
  context.args["incarnation"] = String(own.body["incarnation"]);
  context.say(`now stop ${context.args["node"]} politely and start it again`);
  return undefined;
}

/** The executable runbooks, by name. */
export const runbooks: readonly Runbook[] = [
  {
    name: "empty-machine",
    about: "Move all topic logs off a storage machine",
    args: { machine: "the machine's name" },
    steps: [
      { title: "the fleet is whole", before: FleetChecks.nothing, after: FleetChecks.allHeld, timeoutMs: 10_000 },
      {
        title: "ask for the machine to be emptied",
        before: FleetChecks.isAlive("machine"),
        act: (context) => ask(context, "PUT", `/v1/machines/${context.args["machine"]}/emptying`),
        after: FleetChecks.isEmpty,
        timeoutMs: 300_000,
      },
      {
        title: "every shard is held at full strength without it",
        before: FleetChecks.isEmpty,
        after: FleetChecks.all(FleetChecks.allHeld, FleetChecks.fullStrength),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "refill-machine",
    about: "Let an emptied machine hold topic logs again",
    args: { machine: "the machine's name" },
    steps: [
      {
        title: "take the request to empty it back",
        before: FleetChecks.isAlive("machine"),
        act: (context) => ask(context, "DELETE", `/v1/machines/${context.args["machine"]}/emptying`),
        after: FleetChecks.allHeld,
        timeoutMs: 10_000,
      },
      {
        title: "every shard is held at full strength",
        before: FleetChecks.nothing,
        after: FleetChecks.all(FleetChecks.allHeld, FleetChecks.fullStrength),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "restart-node",
    about: "Restart one node; run it once for each, for a rolling restart",
    args: { node: "the node's name" },
    steps: [
      { title: "the fleet is whole before", before: whole, after: whole, timeoutMs: 10_000 },
      {
        title: "the node is restarted",
        before: FleetChecks.isAlive("node"),
        act: remember,
        after: restarted,
        timeoutMs: 120_000,
      },
      {
        title: "the fleet is whole after",
        before: FleetChecks.nothing,
        after: FleetChecks.all(whole, FleetChecks.controlNodesUp, FleetChecks.configurationInForce),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "replace-lathe",
    about: "Bring back a lathe whose disk was lost, blank, under its old name",
    args: { controlNode: "the lathe's name" },
    steps: [
      {
        title: "the lost lathe is down",
        before: FleetChecks.allHeld,
        after: FleetChecks.isGone("lathe"),
        timeoutMs: 5000,
      },
      {
        title: "start it again with an empty data folder",
        before: FleetChecks.isGone("lathe"),
        after: FleetChecks.isAlive("lathe"),
        timeoutMs: 300_000,
      },
      {
        title: "it is a voter again",
        before: FleetChecks.isAlive("lathe"),
        after: FleetChecks.controlNodesUp,
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "lost-zone",
    about: "Wait for a zone to come back and see that service is whole again",
    args: { zone: "the zone's name" },
    steps: [
      { title: "the other zones serve", before: FleetChecks.nothing, after: FleetChecks.allHeld, timeoutMs: 15_000 },
      {
        title: "the zone's nodes are back",
        before: FleetChecks.nothing,
        after: FleetChecks.zoneAlive,
        timeoutMs: 3_600_000,
      },
      {
        title: "all is whole again",
        before: FleetChecks.zoneAlive,
        after: FleetChecks.all(whole, FleetChecks.controlNodesUp, FleetChecks.configurationInForce),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "undo-plan",
    about: "Put an older plan's spaces back under a new mark",
    args: { file: "a plan file with a mark above the one in force" },
    steps: [
      {
        title: "send the plan",
        before: FleetChecks.nothing,
        act: (context) => ask(context, "PUT", "/v1/plan", FleetClient.readConfigurationFile(context.args["file"]!)),
        after: FleetChecks.configurationInForce,
        timeoutMs: 10_000,
      },
    ],
  },
];
