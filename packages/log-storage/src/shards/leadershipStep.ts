/**
 * Decides what a storage node does next about the leadership of one shard. No I/O: the caller carries out the step, and
 * asks again at the next tick or change of the shard's route.
 */
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";

/** How much longer each further member of the set waits before it claims a free shard, in milliseconds. */
export const electionDelayMs = 100;

/**
 * `delete-stale-key`: the leader key names this machine, but an earlier process of it, so no node needs to wait for
 * that process's lease. `wait`: the shard is free and other members of the set come first.
 */
export type LeadershipStep = "delete-stale-key" | "not-eligible" | "wait" | "claim";

/** What this process knows about the shard's leadership. */
interface LeadershipInputs {
  /** What the store says: the leader's machine, empty if there is none, and its epoch. */
  readonly route: { readonly leader: string; readonly epoch: number };
  /** Name of this machine. */
  readonly ownName: string;
  /** Epoch under which this process leads the shard; undefined if it does not. */
  readonly ledEpoch: number | undefined;
  /** See `electionRank`. */
  readonly rank: number;
  /** Whether this process or its machine is to lead nothing any more. */
  readonly isDraining: boolean;
  /** Milliseconds for which this process has seen the shard free. */
  readonly freeForMs: number;
}

/** The next step, from what this process knows; the store's compare-and-set decides whether a claim succeeds. */
export function decideLeadershipStep(inputs: LeadershipInputs): LeadershipStep {
  const { route, ownName, ledEpoch, rank, isDraining, freeForMs } = inputs;
  if (route.leader === ownName && ledEpoch !== route.epoch) return "delete-stale-key";
  if (route.leader !== "" || rank === -1 || isDraining) return "not-eligible";
  return freeForMs >= rank * electionDelayMs ? "claim" : "wait";
}

/** A disk's turn to claim the shard among the set's responsive members, from 0; -1 if it is not a member. */
export function electionRank(
  shard: number,
  members: ShardSet["members"],
  diskId: string,
  isResponsive: (name: string) => boolean,
): number {
  const eligible = members.filter(({ id, name }) => id === diskId || isResponsive(name)).map(({ id }) => id);
  return Rendezvous.rank(RendezvousKeys.shardLeader(shard), eligible).indexOf(diskId);
}
