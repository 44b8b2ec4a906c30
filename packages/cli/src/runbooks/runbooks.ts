import { FleetChecks } from "../fleetChecks.js";
import { FleetClient } from "../fleetClient.js";
import type { Check, Runbook, RunbookContext } from "./runbook.js";

const healthy = FleetChecks.all(FleetChecks.allAlive, FleetChecks.allShardsLed, FleetChecks.fullStrength);

/** The documented option of `replace-lathe`; scripts use it. */
const controlNodeFlag = "lathe";

/** Makes one change by the HTTP API; undefined where it was accepted. */
async function change(
  context: RunbookContext,
  method: "PUT" | "DELETE",
  path: string,
  body?: string,
): Promise<string | undefined> {
  const reply = await context.client.call(method, path, body);
  const fault = reply.body["error"] as { message: string } | undefined;
  return reply.status === 200 ? undefined : `${reply.status}: ${fault?.message ?? reply.text}`;
}

/** Holds once the operator has restarted the node: it answers, with another incarnation than noted before. */
const restarted: Check = async (context) => {
  const seen = await FleetChecks.status(context);
  const member = seen?.members.find((candidate) => candidate.name === context.args["node"]);
  const own =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  const before = context.args["incarnation"];
  if (own?.status !== 200) return `${context.args["node"]} does not answer yet`;
  return String(own.body["incarnation"]) === before ? `${context.args["node"]} has not been restarted yet` : undefined;
};

/** Notes the process's incarnation before the operator restarts it; `restarted` compares it. */
async function noteIncarnation(context: RunbookContext): Promise<string | undefined> {
  const seen = await FleetChecks.status(context);
  const member = seen?.members.find((candidate) => candidate.name === context.args["node"]);
  const own =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  if (own?.status !== 200) return `${context.args["node"]} does not answer`;
  context.args["incarnation"] = String(own.body["incarnation"]);
  context.say(`now stop ${context.args["node"]} with SIGTERM and start it again`);
  return undefined;
}

/** The executable runbooks, by name. */
export const runbooks: readonly Runbook[] = [
  {
    name: "empty-machine",
    about: "Move all topic logs off a storage machine",
    args: { machine: "the machine's name" },
    steps: [
      {
        title: "every shard has a leader",
        before: FleetChecks.none,
        after: FleetChecks.allShardsLed,
        timeoutMs: 10_000,
      },
      {
        title: "request the drain",
        before: FleetChecks.isAlive("machine"),
        perform: (context) => change(context, "PUT", `/v1/machines/${context.args["machine"]}/emptying`),
        after: FleetChecks.isEmpty,
        timeoutMs: 300_000,
      },
      {
        title: "every shard has a leader and all replicas without it",
        before: FleetChecks.isEmpty,
        after: FleetChecks.all(FleetChecks.allShardsLed, FleetChecks.fullStrength),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "refill-machine",
    about: "Let a drained machine hold topic logs again",
    args: { machine: "the machine's name" },
    steps: [
      {
        title: "cancel the drain request",
        before: FleetChecks.isAlive("machine"),
        perform: (context) => change(context, "DELETE", `/v1/machines/${context.args["machine"]}/emptying`),
        after: FleetChecks.allShardsLed,
        timeoutMs: 10_000,
      },
      {
        title: "every shard has a leader and all replicas",
        before: FleetChecks.none,
        after: FleetChecks.all(FleetChecks.allShardsLed, FleetChecks.fullStrength),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "restart-node",
    about: "Restart one node; run it once for each, for a rolling restart",
    args: { node: "the node's name" },
    steps: [
      { title: "the fleet is healthy before", before: healthy, after: healthy, timeoutMs: 10_000 },
      {
        title: "the node is restarted",
        before: FleetChecks.isAlive("node"),
        perform: noteIncarnation,
        after: restarted,
        timeoutMs: 120_000,
      },
      {
        title: "the fleet is healthy after",
        before: FleetChecks.none,
        after: FleetChecks.all(healthy, FleetChecks.controlNodesUp, FleetChecks.configurationInForce),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "replace-lathe",
    about: "Bring back a control node whose disk was lost, blank, under its old name",
    args: { [controlNodeFlag]: "the control node's name" },
    steps: [
      {
        title: "the lost control node is down",
        before: FleetChecks.allShardsLed,
        after: FleetChecks.isGone(controlNodeFlag),
        timeoutMs: 5000,
      },
      {
        title: "start it again with an empty data folder",
        before: FleetChecks.isGone(controlNodeFlag),
        after: FleetChecks.isAlive(controlNodeFlag),
        timeoutMs: 300_000,
      },
      {
        title: "it is a voter again",
        before: FleetChecks.isAlive(controlNodeFlag),
        after: FleetChecks.controlNodesUp,
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "lost-zone",
    about: "Wait for a zone to come back and see that service is complete again",
    args: { zone: "the zone's name" },
    steps: [
      { title: "the other zones serve", before: FleetChecks.none, after: FleetChecks.allShardsLed, timeoutMs: 15_000 },
      {
        title: "the zone's nodes are back",
        before: FleetChecks.none,
        after: FleetChecks.zoneAlive,
        timeoutMs: 3_600_000,
      },
      {
        title: "everything is complete again",
        before: FleetChecks.zoneAlive,
        after: FleetChecks.all(healthy, FleetChecks.controlNodesUp, FleetChecks.configurationInForce),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "undo-plan",
    about: "Put an older configuration's spaces back under a new version",
    args: { file: "a configuration file with a version above the one in force" },
    steps: [
      {
        title: "send the configuration",
        before: FleetChecks.none,
        perform: (context) =>
          change(context, "PUT", "/v1/plan", FleetClient.readConfigurationFile(context.args["file"]!)),
        after: FleetChecks.configurationInForce,
        timeoutMs: 10_000,
      },
    ],
  },
];
