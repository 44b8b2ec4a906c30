import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import { Placement } from "./placement.js";

/** A new set that counts, beside the one in force, since the log had `joinedAt` entries. */
export interface JoinedSet {
  readonly set: ShardSet;
  readonly joiningReplica: string | undefined;
  readonly joinedAt: number;
}

/** Whoever has not answered for so long is not counted on when a set is put in force. */
export const maxSilenceMs = 700;

/**
 * Whether the new set may be put in force by itself. What was committed before it counted may stand on a majority of
 * the old set only; so a majority of the new one, members that answer just now and so are not lost with their disks,
 * must have all of that. Everything later is committed on a majority of both.
 */
export function isSafeToDecide(
  { set, joiningReplica, joinedAt }: JoinedSet,
  progress: Pick<LogReplicator, "commit" | "matchOf" | "sinceContactMs">,
): boolean {
  if (progress.commit < joinedAt) return false;
  if (joiningReplica !== undefined && progress.matchOf(joiningReplica) < joinedAt) return false;
  const isResponsive = (id: string): boolean => progress.sinceContactMs(id) < maxSilenceMs;
  const upToDate = set.members.filter(({ id }) => isResponsive(id) && progress.matchOf(id) >= joinedAt);
  return upToDate.length >= Placement.majorityOf(set.members.length);
}
