import { FleetChecks } from "../fleetChecks.js";
import { FleetClient } from "../fleetClient.js";
import type { Check, Runbook, RunbookContext } from "./runbook.js";

const fleetIsHealthy = FleetChecks.all(FleetChecks.allAlive, FleetChecks.allShardsLed, FleetChecks.allReplicasAlive);

/** The option of `replace-lathe` that names the control node; documented, and used by scripts. */
const controlNodeFlag = "lathe";

/** Sends one change to the HTTP API; resolves to undefined if it was accepted, else to the error. */
async function requestChange(
  context: RunbookContext,
  method: "PUT" | "DELETE",
  path: string,
  body?: string,
): Promise<string | undefined> {
  const reply = await context.client.call(method, path, body);
  const error = reply.body["error"] as { message: string } | undefined;
  return reply.status === 200 ? undefined : `${reply.status}: ${error?.message ?? reply.text}`;
}

/** Holds once the operator has restarted the node: it answers with an incarnation other than the stored one. */
const hasRestarted: Check = async (context) => {
  const fleet = await FleetChecks.readStatus(context);
  const member = fleet?.members.find((candidate) => candidate.name === context.args["node"]);
  const ownStatus =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  const previousIncarnation = context.args["incarnation"];
  if (ownStatus?.status !== 200) return `${context.args["node"]} does not answer yet`;
  return String(ownStatus.body["incarnation"]) === previousIncarnation
    ? `${context.args["node"]} has not been restarted yet`
    : undefined;
};

/** Stores the incarnation of the node's process before the operator restarts it, for `hasRestarted` to compare. */
async function noteIncarnation(context: RunbookContext): Promise<string | undefined> {
  const fleet = await FleetChecks.readStatus(context);
  const member = fleet?.members.find((candidate) => candidate.name === context.args["node"]);
  const ownStatus =
    member === undefined ? undefined : await context.client.call("GET", "/v1/status", undefined, [member.http]);
  if (ownStatus?.status !== 200) return `${context.args["node"]} does not answer`;
  context.args["incarnation"] = String(ownStatus.body["incarnation"]);
  context.print(`now stop ${context.args["node"]} with SIGTERM and start it again`);
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
        precondition: FleetChecks.alwaysHolds,
        postcondition: FleetChecks.allShardsLed,
        timeoutMs: 10_000,
      },
      {
        title: "request the drain",
        precondition: FleetChecks.isAlive("machine"),
        perform: (context) => requestChange(context, "PUT", `/v1/machines/${context.args["machine"]}/emptying`),
        postcondition: FleetChecks.isDrained,
        timeoutMs: 300_000,
      },
      {
        title: "every shard has a leader and all replicas without it",
        precondition: FleetChecks.isDrained,
        postcondition: FleetChecks.all(FleetChecks.allShardsLed, FleetChecks.allReplicasAlive),
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
        precondition: FleetChecks.isAlive("machine"),
        perform: (context) => requestChange(context, "DELETE", `/v1/machines/${context.args["machine"]}/emptying`),
        postcondition: FleetChecks.allShardsLed,
        timeoutMs: 10_000,
      },
      {
        title: "every shard has a leader and all replicas",
        precondition: FleetChecks.alwaysHolds,
        postcondition: FleetChecks.all(FleetChecks.allShardsLed, FleetChecks.allReplicasAlive),
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "restart-node",
    about: "Restart one node; run it once for each, for a rolling restart",
    args: { node: "the node's name" },
    steps: [
      {
        title: "the fleet is healthy before",
        precondition: fleetIsHealthy,
        postcondition: fleetIsHealthy,
        timeoutMs: 10_000,
      },
      {
        title: "the node is restarted",
        precondition: FleetChecks.isAlive("node"),
        perform: noteIncarnation,
        postcondition: hasRestarted,
        timeoutMs: 120_000,
      },
      {
        title: "the fleet is healthy after",
        precondition: FleetChecks.alwaysHolds,
        postcondition: FleetChecks.all(
          fleetIsHealthy,
          FleetChecks.allControlNodesVote,
          FleetChecks.configurationInForce,
        ),
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
        precondition: FleetChecks.allShardsLed,
        postcondition: FleetChecks.isDown(controlNodeFlag),
        timeoutMs: 5000,
      },
      {
        title: "start it again with an empty data folder",
        precondition: FleetChecks.isDown(controlNodeFlag),
        postcondition: FleetChecks.isAlive(controlNodeFlag),
        timeoutMs: 300_000,
      },
      {
        title: "it is a voter again",
        precondition: FleetChecks.isAlive(controlNodeFlag),
        postcondition: FleetChecks.allControlNodesVote,
        timeoutMs: 60_000,
      },
    ],
  },
  {
    name: "lost-zone",
    about: "Wait for a zone to come back and see that service is complete again",
    args: { zone: "the zone's name" },
    steps: [
      {
        title: "the other zones serve",
        precondition: FleetChecks.alwaysHolds,
        postcondition: FleetChecks.allShardsLed,
        timeoutMs: 15_000,
      },
      {
        title: "the zone's nodes are back",
        precondition: FleetChecks.alwaysHolds,
        postcondition: FleetChecks.zoneAlive,
        timeoutMs: 3_600_000,
      },
      {
        title: "everything is complete again",
        precondition: FleetChecks.zoneAlive,
        postcondition: FleetChecks.all(
          fleetIsHealthy,
          FleetChecks.allControlNodesVote,
          FleetChecks.configurationInForce,
        ),
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
        precondition: FleetChecks.alwaysHolds,
        perform: (context) =>
          requestChange(context, "PUT", "/v1/plan", FleetClient.readConfigurationFile(context.args["file"]!)),
        postcondition: FleetChecks.configurationInForce,
        timeoutMs: 10_000,
      },
    ],
  },
];
