import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";

/** What a confirmed read of the store says about drain requests and about what rests on machines. */
export interface DrainStatus {
  readonly requests: readonly Kv[];
  /** Revision of the key that each recorded request writes: two requests can't be decided on the same status. */
  readonly turnRevision: number;
  readonly replicaSets: ReadonlyArray<{ shard: number; names: string[] }>;
  /** Machines that lead a shard. */
  readonly leaders: ReadonlySet<string>;
  /** Undefined where the store's leader is of a build that does not tell. */
  readonly voters: readonly string[] | undefined;
}

/** How far the drain of one machine has got. */
export interface DrainProgress {
  /** Shards with a replica on the machine, ascending. */
  readonly left: readonly number[];
  readonly isLeader: boolean;
  readonly isVoter: boolean;
  readonly isEmpty: boolean;
}

/** The keys and prefixes that a status is made from. */
export const drainStatusKeys = {
  keys: [MembersKey.name, DrainKey.turn],
  prefixes: ["shards/", "machines/"],
} as const;

/** The status from the values under `drainStatusKeys`, which have to be of one revision. */
export function drainStatusOf(kvs: readonly Kv[]): DrainStatus {
  const members = kvs.find((kv) => kv.key === MembersKey.name);
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
    turnRevision: kvs.find((kv) => kv.key === DrainKey.turn)?.revision ?? 0,
    replicaSets,
    leaders: new Set(leaders),
    voters: members === undefined ? undefined : MembersKey.read(members.value)?.voters,
  };
}

/** Whether the machine's drain is recorded. */
export function isDrainRequested({ requests }: DrainStatus, name: string): boolean {
  return requests.some((kv) => kv.key === DrainKey.of(name));
}

/** Machines that a replica set, a shard's leadership or the store's voters name, up or not. */
export function machinesInUse({ replicaSets, leaders, voters }: DrainStatus): Set<string> {
  return new Set([...replicaSets.flatMap((set) => set.names), ...leaders, ...(voters ?? [])]);
}

/** Where the voters aren't known the machine counts as one: it must not be switched off on a guess. */
export function drainProgress({ replicaSets, leaders, voters }: DrainStatus, name: string): DrainProgress {
  const left = replicaSets
    .filter((set) => set.names.includes(name))
    .map((set) => set.shard)
    .sort((a, b) => a - b);
  const isVoter = voters?.includes(name) ?? true;
  const isLeader = leaders.has(name);
  return { left, isLeader, isVoter, isEmpty: left.length === 0 && !isLeader && !isVoter };
}

/**
 * The keys of the oldest requests to drop before one more is recorded, so that `max` are kept: only of machines that
 * are gone and not in use. None where the voters aren't known.
 */
export function requestsToForget(status: DrainStatus, max: number, isAlive: (name: string) => boolean): string[] {
  const surplus = status.requests.length + 1 - max;
  if (surplus <= 0 || status.voters === undefined) return [];
  const used = machinesInUse(status);
  return status.requests
    .filter((kv) => !used.has(DrainKey.machineOf(kv.key)!) && !isAlive(DrainKey.machineOf(kv.key)!))
    .sort((a, b) => a.revision - b.revision)
    .slice(0, surplus)
    .map((kv) => kv.key);
}
