import type { Entry } from "../gen/cranetrack_pb.js";
import type { KeptTail, ReplicaLog } from "./replicaLog.js";

/** When a log is compacted: at so many applied entries, or bytes of them, since its snapshot; and what stays. */
export interface CompactionBounds {
  readonly entries: number;
  readonly bytes: number;
  readonly kept: KeptTail;
}

/**
 * Bounds what a replicated log takes in memory and on the disk, and what a start has to replay. Only applied entries
 * count: those that wait for a majority cannot be dropped.
 */
export class LogCompaction {
  readonly #log: ReplicaLog;
  readonly #bounds: CompactionBounds;
  /** Which snapshot it counts from: one that is installed starts the count anew. */
  #from = 0;
  #entries = 0;
  #bytes = 0;

  constructor(log: ReplicaLog, bounds: CompactionBounds) {
    this.#log = log;
    this.#bounds = bounds;
  }

  applied(entry: Entry): void {
    if (this.#from !== this.#log.snapshotIndex) this.#begin();
    this.#entries += 1;
    this.#bytes += entry.data.length;
  }

  /** A snapshot that is itself longer than the bound is not written more often than its length of entries. */
  get shouldCompact(): boolean {
    return (
      this.#entries >= this.#bounds.entries || this.#bytes >= Math.max(this.#bounds.bytes, this.#log.snapshot.length)
    );
  }

  /** A snapshot stands for all that was applied. */
  compact(index: number, snapshot: Uint8Array): Promise<void> {
    const written = this.#log.compact(index, snapshot, this.#bounds.kept);
    this.#begin();
    return written;
  }

  #begin(): void {
    this.#from = this.#log.snapshotIndex;
    this.#entries = this.#bytes = 0;
  }
}
