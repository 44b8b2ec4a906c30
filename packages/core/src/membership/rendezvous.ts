import { createHash } from "node:crypto";

/** Computed weights by the hashed text, because the same few are needed again and again. */
const cachedWeights = new Map<string, number>();
const maxCachedWeights = 20_000;

/** Highest-random-weight hashing: every node that knows the same names picks the same ones. */
export const Rendezvous = {
  /** The weight of a name for a key: 48 bits of a SHA-1 hash of both. */
  weigh(key: string, name: string): number {
    const cacheKey = `${key}\u0000${name}`;
    let weight = cachedWeights.get(cacheKey);
    if (weight !== undefined) return weight;
    weight = createHash("sha1").update(cacheKey).digest().readUIntBE(0, 6);
    if (cachedWeights.size >= maxCachedWeights) cachedWeights.clear();
    cachedWeights.set(cacheKey, weight);
    return weight;
  },

  /** All names, the best for the key first. */
  rank(key: string, names: readonly string[]): string[] {
    const weighted = names.map((name) => ({ name, weight: Rendezvous.weigh(key, name) }));
    weighted.sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1));
    return weighted.map((node) => node.name);
  },

  /** Names by rank, those of the given zone first: traffic within a zone is fast and cheap. */
  nearest(key: string, zone: string, nodes: ReadonlyArray<{ name: string; zone: string }>): string[] {
    const near = nodes.filter((node) => node.zone === zone);
    const far = nodes.filter((node) => node.zone !== zone);
    return [near, far].flatMap((group) =>
      Rendezvous.rank(
        key,
        group.map((node) => node.name),
      ),
    );
  },

  /** Up to `count` names, best first, from as many different zones as possible. */
  choose(key: string, nodes: ReadonlyArray<{ name: string; zone: string }>, count: number): string[] {
    const zones = new Map(nodes.map((node) => [node.name, node.zone]));
    const ranked = Rendezvous.rank(
      key,
      nodes.map((node) => node.name),
    );
    const chosen: string[] = [];
    const usedZones = new Set<string>();
    for (const name of ranked) {
      const zone = zones.get(name) ?? "";
      if (chosen.length < count && !usedZones.has(zone)) {
        usedZones.add(zone);
        chosen.push(name);
      }
    }
    for (const name of ranked) if (chosen.length < count && !chosen.includes(name)) chosen.push(name);
    return chosen;
  },

  /** The shard that a topic's log is in. */
  shardOf(topic: string, shards: number): number {
    return createHash("sha1").update(topic).digest().readUInt32BE(0) % shards;
  },
};

/**
 * The keys under which nodes are ranked by rendezvous hashing, one for each duty.
 * Invariant: the texts never change. They are hashed, and nodes of different releases have to agree on the result;
 * some therefore use older terms than the code around them.
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
