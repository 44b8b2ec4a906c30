import { createHash } from "node:crypto";

/** Weights that were asked for, by what was hashed: the same few are asked for again and again. */
const weights = new Map<string, number>();
const maxWeights = 20_000;

/** Highest-random-weight hashing: every node that knows the same names picks the same ones. */
export const Rendezvous = {
  weigh(key: string, name: string): number {
    const hashed = `${key}\u0000${name}`;
    let weight = weights.get(hashed);
    if (weight !== undefined) return weight;
    weight = createHash("sha1").update(hashed).digest().readUIntBE(0, 6);
    if (weights.size >= maxWeights) weights.clear();
    weights.set(hashed, weight);
    return weight;
  },

  /** All names, the best for the key first. */
  rank(key: string, names: readonly string[]): string[] {
    const weighed = names.map((name) => ({ name, weight: Rendezvous.weigh(key, name) }));
    weighed.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
    return weighed.map((one) => one.name);
  },

  /** Names by rank, but those of one's own zone first: what stays in a zone is quick and costs little. */
  nearest(key: string, zone: string, nodes: ReadonlyArray<{ name: string; zone: string }>): string[] {
    const near = nodes.filter((node) => node.zone === zone);
    const far = nodes.filter((node) => node.zone !== zone);
    return [near, far].flatMap((some) =>
      Rendezvous.rank(
        key,
        some.map((node) => node.name),
      ),
    );
  },

  /** As many names as asked, best first, and from different zones as far as there are any. */
  choose(key: string, nodes: ReadonlyArray<{ name: string; zone: string }>, count: number): string[] {
    const zones = new Map(nodes.map((node) => [node.name, node.zone]));
    const ranked = Rendezvous.rank(
      key,
      nodes.map((node) => node.name),
    );
    const taken: string[] = [];
    const seen = new Set<string>();
    for (const name of ranked) {
      const zone = zones.get(name) ?? "";
      if (taken.length < count && !seen.has(zone)) {
        seen.add(zone);
        taken.push(name);
      }
    }
    for (const name of ranked) if (taken.length < count && !taken.includes(name)) taken.push(name);
    return taken;
  },

  /** The shard that a topic's log is in. */
  shardOf(topic: string, shards: number): number {
    return createHash("sha1").update(topic).digest().readUInt32BE(0) % shards;
  },
};

/**
 * The keys under which nodes are ranked by rendezvous hashing, one for each duty.
 * Invariant: the texts never change. They are hashed, and nodes of different releases have to agree on the result;
 * some are therefore older than the terms of the code around them.
 */
export const RendezvousKeys = {
  /** In which order the replicas of a shard try to become its leader. */
  shardLeader(shard: number): string {
    return `holder ${shard}`;
  },

  /** Which storage node creates the replica set of a shard that has none. */
  replicaSetCreation(shard: number): string {
    return `found ${shard}`;
  },

  /** Which disks hold the replicas of a shard. */
  replicaSet(shard: number): string {
    return `replicas ${shard}`;
  },

  /** Which nearby replica of a shard an edge node reads from. */
  nearbyReplica(edgeName: string): string {
    return `near ${edgeName}`;
  },

  /** Which nodes a node gossips with, beside those that watch it. */
  gossipPartners(nodeName: string): string {
    return `partners of ${nodeName}`;
  },

  /** Which applicants become members of the metadata store. */
  storeVoter: "voter",

  /** In which order the store's members stand for election after the leader of a term resigned. */
  electionAfter(term: number): string {
    return String(term);
  },
} as const;
