import type { Check, RunbookContext } from "./runbooks/runbook.js";

interface MemberState {
  name: string;
  role: string;
  zone: string;
  http: string;
  state: string;
}
interface ShardState {
  shard: number;
  leader: string;
  replicas: string[];
}

/** The role of control nodes as status names it: the stored value of before the standard terms. */
const controlRole = "lathe";

async function status(context: RunbookContext): Promise<{ members: MemberState[]; shards: ShardState[] } | undefined> {
  const reply = await context.client.call("GET", "/v1/status");
  return reply.status === 200 ? (reply.body as { members: MemberState[]; shards: ShardState[] }) : undefined;
}

/** What runbooks check of a fleet, each from one node's view; undefined where all is well, else what is wrong. */
export const FleetChecks = {
  status,

  none: (async () => undefined) satisfies Check,

  allAlive: (async (context) => {
    const seen = await status(context);
    if (seen === undefined) return "no node answers";
    const missing = seen.members
      .filter((member) => member.state !== "alive")
      .map((member) => `${member.name} is ${member.state}`);
    return missing.length === 0 ? undefined : missing.join(", ");
  }) satisfies Check,

  allShardsLed: (async (context) => {
    const seen = await status(context);
    if (seen === undefined) return "no node answers";
    const free = seen.shards.filter((shard) => shard.leader === "").map((shard) => shard.shard);
    if (seen.shards.length === 0) return "no shard has a replica set yet";
    return free.length === 0 ? undefined : `shards ${free.join(", ")} have no leader`;
  }) satisfies Check,

  fullStrength: (async (context) => {
    const seen = await status(context);
    if (seen === undefined) return "no node answers";
    const alive = new Set(seen.members.filter((member) => member.state === "alive").map((member) => member.name));
    const weak = seen.shards
      .filter((shard) => shard.replicas.length < 3 || shard.replicas.some((name) => !alive.has(name)))
      .map((shard) => shard.shard);
    return weak.length === 0 ? undefined : `shards ${weak.join(", ")} lack a live replica`;
  }) satisfies Check,

  configurationInForce: (async (context) => {
    const reply = await context.client.call("GET", "/v1/plan/rollout");
    if (reply.status === 404) return undefined;
    if (reply.status !== 200) return "the rollout cannot be read";
    const late = (
      reply.body["nodes"] as Array<{ name: string; hasTakenUp: boolean; isAlive: boolean; why?: string }>
    ).filter((node) => node.isAlive && !node.hasTakenUp);
    return late.length === 0 ? undefined : late.map((node) => `${node.name} ${node.why ?? "is behind"}`).join(", ");
  }) satisfies Check,

  controlNodesUp: (async (context) => {
    const seen = await status(context);
    if (seen === undefined) return "no node answers";
    const controlNodes = seen.members.filter((member) => member.role === controlRole && member.state === "alive");
    for (const controlNode of controlNodes) {
      const own = await context.client.call("GET", "/v1/status", undefined, [controlNode.http]);
      const raft = own.body["raft"] as { voters: string[]; learners: string[]; isLeader: boolean } | null | undefined;
      if (raft?.isLeader !== true) continue;
      const outside = controlNodes.map(({ name }) => name).filter((name) => !raft.voters.includes(name));
      return outside.length === 0 ? undefined : `${outside.join(", ")} not a voter yet`;
    }
    return "no control node leads the metadata store";
  }) satisfies Check,

  isAlive:
    (arg: string): Check =>
    async (context) => {
      const seen = await status(context);
      const member = seen?.members.find((candidate) => candidate.name === context.args[arg]);
      if (member === undefined) return `no node is called ${context.args[arg]}`;
      return member.state === "alive" ? undefined : `${member.name} is ${member.state}`;
    },

  isGone:
    (arg: string): Check =>
    async (context) =>
      (await FleetChecks.isAlive(arg)(context)) === undefined ? `${context.args[arg]} still runs` : undefined,

  zoneAlive: (async (context) => {
    const seen = await status(context);
    const down =
      seen?.members.filter((member) => member.zone === context.args["zone"] && member.state !== "alive") ?? [];
    return down.length === 0 ? undefined : `${down.map((member) => member.name).join(", ")} not back`;
  }) satisfies Check,

  isEmpty: (async (context) => {
    const reply = await context.client.call("GET", `/v1/machines/${context.args["machine"]}/emptying`);
    if (reply.status !== 200) return `progress cannot be read (${reply.status})`;
    return reply.body["isEmpty"] === true ? undefined : `${String(reply.body["shardsLeft"])} shards left`;
  }) satisfies Check,

  /** Every check in turn; the first that finds something says it. */
  all:
    (...checks: Check[]): Check =>
    async (context) => {
      for (const check of checks) {
        const why = await check(context);
        if (why !== undefined) return why;
      }
      return undefined;
    },
};
