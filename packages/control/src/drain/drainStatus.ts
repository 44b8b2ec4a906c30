import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";

/** Drain requests and the use of machines, from a confirmed read of the store. */
export interface DrainStatus {
  /** The keys of the recorded drain requests. */
  readonly requests: readonly Kv[];
  /** Revision of the key that every request writes, which ensures that no two requests are decided on one status. */
  readonly lastRequestRevision: number;
  /** Each shard with the machines that have a replica of it. */
  readonly replicaSets: ReadonlyArray<{ shard: number; names: string[] }>;
  /** Machines that lead a shard. */
  readonly leaders: ReadonlySet<string>;
  /** Names of the store's voters; undefined if its leader runs a build that does not report them. */
  readonly voters: readonly string[] | undefined;
}

/** Progress of the drain of one machine. */
export interface DrainProgress {
  /** Shards that still have a replica on the machine, in ascending order. */
  readonly shardsLeft: readonly number[];
  /** Whether the machine leads a shard. */
  readonly isLeader: boolean;
  /** Whether the machine votes in the store. */
  readonly isVoter: boolean;
  /** Whether nothing depends on the machine, so that it may be switched off. */
  readonly isEmpty: boolean;
}

/** The keys and prefixes to read for a status. */
export const drainStatusKeys = {
  keys: [MembersKey.name, DrainKey.requestsKey],
  prefixes: ["shards/", "machines/"],
} as const;

/** The status from the values under `drainStatusKeys`, which must come from one read, so of one revision. */
export function drainStatusOf(kvs: readonly Kv[]): DrainStatus {
  const membersKv = kvs.find((kv) => kv.key === MembersKey.name);
  const leaders = kvs
    .filter((kv) => kv.key.startsWith("shards/") && kv.key.endsWith("/holder"))
    .map((kv) => ShardLeaderKey.read(kv.value)?.name ?? "");
  const replicaSets = kvs
    .filter((kv) => kv.key.endsWith("/replicas"))
    .map((kv) => ({
      shard: Number(kv.key.split("/")[1]),
      names: (ReplicasKey.read(kv.value)?.members ?? []).map((member) => member.name),
    }));
  return {
    requests: kvs.filter((kv) => DrainKey.machineOf(kv.key) !== undefined),
    lastRequestRevision: kvs.find((kv) => kv.key === DrainKey.requestsKey)?.revision ?? 0,
    replicaSets,
    leaders: new Set(leaders),
    voters: membersKv === undefined ? undefined : MembersKey.read(membersKv.value)?.voters,
  };
}

/** Whether a request to drain the machine is recorded. */
export function isDrainRequested({ requests }: DrainStatus, name: string): boolean {
  return requests.some((kv) => kv.key === DrainKey.of(name));
}

/** Machines that are in a replica set, lead a shard or vote in the store, whether they are up or not. */
export function machinesInUse({ replicaSets, leaders, voters }: DrainStatus): Set<string> {
  return new Set([...replicaSets.flatMap((set) => set.names), ...leaders, ...(voters ?? [])]);
}

/** If the voters are unknown the machine counts as a voter, so that it is not switched off on an assumption. */
export function drainProgress({ replicaSets, leaders, voters }: DrainStatus, name: string): DrainProgress {
  const shardsLeft = replicaSets
    .filter((set) => set.names.includes(name))
    .map((set) => set.shard)
    .sort((a, b) => a - b);
  const isVoter = voters?.includes(name) ?? true;
  const isLeader = leaders.has(name);
  return { shardsLeft, isLeader, isVoter, isEmpty: shardsLeft.length === 0 && !isLeader && !isVoter };
}

/**
 * The keys of the oldest requests to drop before one more is recorded, so that at most `max` are kept. Only requests
 * for machines that are down and not in use are dropped; none if the voters are unknown.
 */
export function requestsToDrop(status: DrainStatus, max: number, isAlive: (name: string) => boolean): string[] {
  const excess = status.requests.length + 1 - max;
  if (excess <= 0 || status.voters === undefined) return [];
  const inUse = machinesInUse(status);
  return status.requests
    .filter((kv) => !inUse.has(DrainKey.machineOf(kv.key)!) && !isAlive(DrainKey.machineOf(kv.key)!))
    .sort((a, b) => a.revision - b.revision)
    .slice(0, excess)
    .map((kv) => kv.key);
}
