interface StatusBody {
  name: string;
  feed: { ageMs: number | null; isFresh: boolean };
  configuration: { version: number; spaces: string[] };
  members: Array<{ name: string; role: string; zone: string; http: string; state: string }>;
  shards: Array<{ shard: number; leader: string; epoch: number; replicas: string[] }>;
  risks: Array<{ space: string; budget: string; why: string }>;
  faults: { settings: string; last: string; garbledFrames: number };
}

/** Status and rollout for people's eyes. */
export const StatusText = {
  write(body: object): string {
    const status = body as StatusBody;
    const lines = [
      `plan ${status.configuration.version === 0 ? "none" : `mark ${status.configuration.version}`} ` +
        `(${status.configuration.spaces.join(", ")}), as ${status.name} sees it`,
    ];
    for (const member of status.members)
      lines.push(
        [
          member.name.padEnd(12),
          member.role.padEnd(6),
          member.zone.padEnd(12),
          member.http.padEnd(22),
          member.state,
        ].join(" "),
      );
    const leaders = new Map<string, number>();
    for (const { leader } of status.shards) leaders.set(leader, (leaders.get(leader) ?? 0) + 1);
    for (const [leader, count] of [...leaders].sort())
      lines.push(leader === "" ? `${count} shards have no holder` : `${leader} holds ${count} shards`);
    const alive = new Set(status.members.filter((member) => member.state === "alive").map((member) => member.name));
    const weak = status.shards.filter((shard) => shard.replicas.some((name) => !alive.has(name)));
    if (weak.length > 0)
      lines.push(`${weak.length} shards lack a live replica: ${weak.map((shard) => shard.shard).join(", ")}`);
    for (const { space, budget, why } of status.risks)
      lines.push(`contract at risk: space ${space} (${budget}): ${why}`);
    if (!status.feed.isFresh) lines.push(`${status.name} is out of touch with the store`);
    if (status.faults.settings !== "") lines.push(`settings: ${status.faults.settings}`);
    if (status.faults.last !== "") lines.push(`last fault: ${status.faults.last}`);
    return `${lines.join("\n")}\n`;
  },

  rollout(body: Record<string, unknown>): string {
    const {
      mark: version,
      taken,
      of,
      nodes,
    } = body as {
      mark: number;
      taken: number;
      of: number;
      nodes: Array<{ name: string; mark: number; hasTakenUp: boolean; why?: string }>;
    };
    const late = nodes
      .filter((node) => !node.hasTakenUp)
      .map((node) => `  ${node.name} at mark ${node.mark}: ${node.why ?? ""}\n`);
    return `mark ${version}: taken up by ${taken} of ${of}\n${late.join("")}`;
  },
};
