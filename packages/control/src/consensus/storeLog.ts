import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";

/** What an entry of the metadata store's log is. The numbers rest on disk and travel: they never change. */
export const entryKind = {
  /** A `StoreCommand` for the state machine. */
  command: 0,
  /** Empty: the first entry of a leader's term, whose commit also commits what came before (Raft, section 8). */
  noop: 1,
  /** A configuration of the store's members, in force as soon as it is in the log (thesis, section 4.1). */
  members: 2,
} as const;

/** A configuration change may carry half a megabyte; a start replays no more than these bytes of applied entries. */
export const storeCompaction: CompactionBounds = {
  entries: 4000,
  bytes: 8 * 1024 * 1024,
  kept: { entries: 1000, bytes: 4 * 1024 * 1024 },
};
