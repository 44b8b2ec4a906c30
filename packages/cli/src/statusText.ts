/** The fields of `GET /v1/status` that are printed. */
interface StatusBody {
  name: string;
  feed: { ageMs: number | null; isFresh: boolean };
  configuration: { version: number; spaces: string[] };
  members: Array<{ name: string; role: string; zone: string; http: string; state: string }>;
  shards: Array<{ shard: number; leader: string; epoch: number; replicas: string[] }>;
  risks: Array<{ space: string; budget: string; why: string }>;
  faults: { settings: string; last: string; garbledFrames: number };
}

/** The body of `GET /v1/plan/rollout`; `mark` is the API's name for a configuration version. */
interface RolloutBody {
  mark: number;
  taken: number;
  of: number;
  nodes: Array<{ name: string; mark: number; hasTakenUp: boolean; why?: string }>;
}

/** A node's status as text: a line for the configuration, each member, each shard leader, and each problem. */
export function statusText(body: object): string {
  const status = body as StatusBody;
  const { version, spaces } = status.configuration;
  const lines = [
    `configuration ${version === 0 ? "none" : `version ${version}`} (${spaces.join(", ")}), as ${status.name} sees it`,
  ];
  for (const { name, role, zone, http, state } of status.members)
    lines.push([name.padEnd(12), role.padEnd(6), zone.padEnd(12), http.padEnd(22), state].join(" "));
  const shardsByLeader = new Map<string, number>();
  for (const { leader } of status.shards) shardsByLeader.set(leader, (shardsByLeader.get(leader) ?? 0) + 1);
  for (const [leader, count] of [...shardsByLeader].sort())
    lines.push(leader === "" ? `${count} shards have no leader` : `${leader} leads ${count} shards`);
  const aliveNodes = new Set(status.members.filter(({ state }) => state === "alive").map(({ name }) => name));
  const degradedShards = status.shards.filter(({ replicas }) => replicas.some((name) => !aliveNodes.has(name)));
  if (degradedShards.length > 0)
    lines.push(
      `${degradedShards.length} shards lack a live replica: ${degradedShards.map(({ shard }) => shard).join(", ")}`,
    );
  for (const { space, budget, why } of status.risks) lines.push(`contract at risk: space ${space} (${budget}): ${why}`);
  if (!status.feed.isFresh) lines.push(`${status.name} is out of touch with the store`);
  if (status.faults.settings !== "") lines.push(`settings: ${status.faults.settings}`);
  if (status.faults.last !== "") lines.push(`last fault: ${status.faults.last}`);
  return `${lines.join("\n")}\n`;
}

/** A rollout as text: how many nodes have the version in force, which do not, and why. */
export function rolloutText(body: object): string {
  const rollout = body as RolloutBody;
  const pendingNodes = rollout.nodes
    .filter((node) => !node.hasTakenUp)
    .map((node) => `  ${node.name} at version ${node.mark}: ${node.why ?? ""}\n`);
  return `version ${rollout.mark}: in force at ${rollout.taken} of ${rollout.of}\n${pendingNodes.join("")}`;
}
