import type { Check, RunbookContext } from "./runbooks/runbook.js";

/** A member in `GET /v1/status`; the fields that the checks read. */
interface MemberState {
  name: string;
  role: string;
  zone: string;
  http: string;
  state: string;
}

/** A shard in `GET /v1/status`; the fields that the checks read. */
interface ShardState {
  shard: number;
  leader: string;
  replicas: string[];
}

/** The role of control nodes in `GET /v1/status`; the stored value has kept its original name. */
const controlRole = "lathe";

/** The node's `GET /v1/status`; undefined if no node answers or the call is rejected. */
async function readStatus(
  context: RunbookContext,
): Promise<{ members: MemberState[]; shards: ShardState[] } | undefined> {
  const reply = await context.client.call("GET", "/v1/status");
  return reply.status === 200 ? (reply.body as { members: MemberState[]; shards: ShardState[] }) : undefined;
}

/** The checks of runbooks. Each reads one node's view of the fleet, and returns undefined or what is wrong. */
export const FleetChecks = {
  readStatus,

  /** For steps without a condition. */
  alwaysHolds: (async () => undefined) satisfies Check,

  /** Every member is alive. */
  allAlive: (async (context) => {
    const fleet = await readStatus(context);
    if (fleet === undefined) return "no node answers";
    const missing = fleet.members
      .filter((member) => member.state !== "alive")
      .map((member) => `${member.name} is ${member.state}`);
    return missing.length === 0 ? undefined : missing.join(", ");
  }) satisfies Check,

  /** Every shard has a leader. */
  allShardsLed: (async (context) => {
    const fleet = await readStatus(context);
    if (fleet === undefined) return "no node answers";
    const leaderless = fleet.shards.filter((shard) => shard.leader === "").map((shard) => shard.shard);
    if (fleet.shards.length === 0) return "no shard has a replica set yet";
    return leaderless.length === 0 ? undefined : `shards ${leaderless.join(", ")} have no leader`;
  }) satisfies Check,

  /** Every shard has at least three replicas, all of them on live nodes. */
  allReplicasAlive: (async (context) => {
    const fleet = await readStatus(context);
    if (fleet === undefined) return "no node answers";
    const alive = new Set(fleet.members.filter((member) => member.state === "alive").map((member) => member.name));
    const degraded = fleet.shards
      .filter((shard) => shard.replicas.length < 3 || shard.replicas.some((name) => !alive.has(name)))
      .map((shard) => shard.shard);
    return degraded.length === 0 ? undefined : `shards ${degraded.join(", ")} lack a live replica`;
  }) satisfies Check,

  /** Every live node has the accepted configuration in force, or there is no configuration yet. */
  configurationInForce: (async (context) => {
    const reply = await context.client.call("GET", "/v1/plan/rollout");
    if (reply.status === 404) return undefined;
    if (reply.status !== 200) return "the rollout cannot be read";
    const pendingNodes = (
      reply.body["nodes"] as Array<{ name: string; hasTakenUp: boolean; isAlive: boolean; why?: string }>
    ).filter((node) => node.isAlive && !node.hasTakenUp);
    return pendingNodes.length === 0
      ? undefined
      : pendingNodes.map((node) => `${node.name} ${node.why ?? "is behind"}`).join(", ");
  }) satisfies Check,

  /** A live control node leads the metadata store, and all live control nodes are voters. */
  allControlNodesVote: (async (context) => {
    const fleet = await readStatus(context);
    if (fleet === undefined) return "no node answers";
    const controlNodes = fleet.members.filter((member) => member.role === controlRole && member.state === "alive");
    for (const controlNode of controlNodes) {
      const ownStatus = await context.client.call("GET", "/v1/status", undefined, [controlNode.http]);
      const raft = ownStatus.body["raft"] as
        { voters: string[]; learners: string[]; isLeader: boolean } | null | undefined;
      if (raft?.isLeader !== true) continue;
      const nonVoters = controlNodes.map(({ name }) => name).filter((name) => !raft.voters.includes(name));
      return nonVoters.length === 0 ? undefined : `${nonVoters.join(", ")} not a voter yet`;
    }
    return "no control node leads the metadata store";
  }) satisfies Check,

  /** The node that the option `arg` names is alive. */
  isAlive:
    (arg: string): Check =>
    async (context) => {
      const fleet = await readStatus(context);
      const member = fleet?.members.find((candidate) => candidate.name === context.args[arg]);
      if (member === undefined) return `no node is called ${context.args[arg]}`;
      return member.state === "alive" ? undefined : `${member.name} is ${member.state}`;
    },

  /** The node that the option `arg` names is not alive. */
  isDown:
    (arg: string): Check =>
    async (context) =>
      (await FleetChecks.isAlive(arg)(context)) === undefined ? `${context.args[arg]} still runs` : undefined,

  /** All nodes of the zone that the option `zone` names are alive. */
  zoneAlive: (async (context) => {
    const fleet = await readStatus(context);
    const missing =
      fleet?.members.filter((member) => member.zone === context.args["zone"] && member.state !== "alive") ?? [];
    return missing.length === 0 ? undefined : `${missing.map((member) => member.name).join(", ")} not back`;
  }) satisfies Check,

  /** No shard has a replica on the machine that the option `machine` names. */
  isDrained: (async (context) => {
    const reply = await context.client.call("GET", `/v1/machines/${context.args["machine"]}/emptying`);
    if (reply.status !== 200) return `progress cannot be read (${reply.status})`;
    return reply.body["isEmpty"] === true ? undefined : `${String(reply.body["shardsLeft"])} shards left`;
  }) satisfies Check,

  /** Runs the checks in order and returns the first failure. */
  all:
    (...checks: Check[]): Check =>
    async (context) => {
      for (const check of checks) {
        const failure = await check(context);
        if (failure !== undefined) return failure;
      }
      return undefined;
    },
};
