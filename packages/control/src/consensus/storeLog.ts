import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";

/** Kinds of entries in the metadata store's log. The numbers are stored on disk and sent, so they must never change. */
export const entryKind = {
  /** A `StoreCommand` for the state machine. */
  command: 0,
  /** The empty first entry of a leader's term; its commit also commits all entries before it (Raft, section 8). */
  noop: 1,
  /** A configuration of the store's members; takes effect once it is in the log (Ongaro's thesis, section 4.1). */
  members: 2,
} as const;

/**
 * When the store's log is compacted. `bytes` is bounded because one configuration change may carry half a megabyte; it
 * also limits the applied entries that a start replays.
 */
export const storeCompaction: CompactionBounds = {
  entries: 4000,
  bytes: 8 * 1024 * 1024,
  kept: { entries: 1000, bytes: 4 * 1024 * 1024 },
};
