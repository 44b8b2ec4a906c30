import type { Entry } from "../gen/cranetrack_pb.js";
import type { KeptTail, ReplicaLog } from "./replicaLog.js";

/**
 * When a log is compacted: after this many applied entries, or bytes of them, since its last snapshot; `kept` is the
 * tail of entries that stays in the log.
 */
export interface CompactionBounds {
  readonly entries: number;
  readonly bytes: number;
  readonly kept: KeptTail;
}

/**
 * Decides when to compact a replicated log. This bounds its size in memory and on disk, and the entries to be replayed
 * at startup. Only applied entries count: entries that wait for a majority cannot be dropped.
 */
export class LogCompaction {
  readonly #log: ReplicaLog;
  readonly #bounds: CompactionBounds;
  /** The index of the snapshot from which entries are counted; installing a snapshot restarts the count. */
  #countedFrom = 0;
  #appliedEntries = 0;
  #appliedBytes = 0;

  constructor(log: ReplicaLog, bounds: CompactionBounds) {
    this.#log = log;
    this.#bounds = bounds;
  }

  /** Counts an entry that was applied. */
  recordApplied(entry: Entry): void {
    if (this.#countedFrom !== this.#log.snapshotIndex) this.#restartCount();
    this.#appliedEntries += 1;
    this.#appliedBytes += entry.data.length;
  }

  /** If the snapshot is larger than the byte bound, it is rewritten only after as many bytes of entries. */
  get shouldCompact(): boolean {
    return (
      this.#appliedEntries >= this.#bounds.entries ||
      this.#appliedBytes >= Math.max(this.#bounds.bytes, this.#log.snapshot.length)
    );
  }

  /** Replaces the entries up to `index` by a snapshot of the state that they led to; resolves once that is synced. */
  compact(index: number, snapshot: Uint8Array, kept = this.#bounds.kept): Promise<void> {
    const written = this.#log.compact(index, snapshot, kept);
    this.#restartCount();
    return written;
  }

  #restartCount(): void {
    this.#countedFrom = this.#log.snapshotIndex;
    this.#appliedEntries = this.#appliedBytes = 0;
  }
}
