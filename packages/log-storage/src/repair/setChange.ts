import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import { Placement } from "./placement.js";

/** A new set whose majority commits need, besides that of the set in force, for all entries after an index. */
export interface JointSet {
  readonly set: ShardSet;
  /** The identity of the joining replica's disk; undefined if no replica joins. */
  readonly joiningReplica: string | undefined;
  /** The last index of the log when commits began to need both sets. */
  readonly jointSinceIndex: number;
}

/** A member that has not replied for this many milliseconds does not count when a set is put in force. */
export const responseTimeoutMs = 700;

/**
 * Whether the new set may replace the old one. Entries committed before commits needed both sets may be stored on a
 * majority of the old set only, so a majority of the new set must have them all. Only members that reply count, because
 * another may have lost its disk. All later entries are committed on a majority of both sets.
 */
export function isSafeToInstall(
  { set, joiningReplica, jointSinceIndex }: JointSet,
  progress: Pick<LogReplicator, "commit" | "matchOf" | "sinceContactMs">,
): boolean {
  if (progress.commit < jointSinceIndex) return false;
  if (joiningReplica !== undefined && progress.matchOf(joiningReplica) < jointSinceIndex) return false;
  const isResponsive = (id: string): boolean => progress.sinceContactMs(id) < responseTimeoutMs;
  const upToDate = set.members.filter(({ id }) => isResponsive(id) && progress.matchOf(id) >= jointSinceIndex);
  return upToDate.length >= Placement.majorityOf(set.members.length);
}
