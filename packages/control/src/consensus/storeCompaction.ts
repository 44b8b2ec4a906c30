import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";

/** A configuration change may carry half a megabyte; a start replays no more than these bytes of applied entries. */
export const storeCompaction: CompactionBounds = {
  entries: 4000,
  bytes: 8 * 1024 * 1024,
  kept: { entries: 1000, bytes: 4 * 1024 * 1024 },
};
