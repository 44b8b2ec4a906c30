/** Commit index, application to the state machine, snapshots and compaction (Raft, sections 5.3 and 7). */
import type { Entry } from "@cranetrack/core/gen/cranetrack_pb.js";
import { LogCompaction, type CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { Metadata, type ApplyResult } from "../store/metadata.js";
import type { MemberLog } from "./memberLog.js";
import { entryKind } from "./storeLog.js";

/**
 * Applies each committed entry to the state machine once, in log order.
 * Invariants: `applied` never exceeds `commit`; neither decreases; both start at the index of the log's snapshot.
 */
export class Applier {
  /** How long entries are applied at a stretch; heartbeats, votes and replies wait meanwhile. */
  static readonly maxSliceMs = 20;

  /** The state machine with all applied entries. */
  readonly metadata = new Metadata();
  readonly #clock: Clock;
  readonly #log: ReplicaLog;
  readonly #memberLog: MemberLog;
  readonly #compaction: LogCompaction;
  #commit: number;
  #applied: number;

  constructor(log: ReplicaLog, memberLog: MemberLog, bounds: CompactionBounds, clock: Clock) {
    this.#clock = clock;
    this.#log = log;
    this.#memberLog = memberLog;
    this.#commit = this.#applied = log.snapshotIndex;
    this.#compaction = new LogCompaction(log, bounds);
    if (log.snapshotIndex > 0) memberLog.onSnapshotInstalled(this.metadata.install(log.snapshot));
  }

  /** Index of the last entry known to be committed. */
  get commit(): number {
    return this.#commit;
  }

  /** Index of the last applied entry. */
  get applied(): number {
    return this.#applied;
  }

  /** Raises the commit index, at most to the end of this log; a lower index changes nothing. */
  advanceCommit(index: number): void {
    this.#commit = Math.max(this.#commit, Math.min(index, this.#log.lastIndex));
  }

  /**
   * Applies committed entries until all are applied or `maxSliceMs` has passed, but at least one if there is one.
   * Returns whether all are applied; if not, the caller calls again later.
   */
  applySlice(onApplied: (entry: Entry, applied: ApplyResult) => void): boolean {
    const startedAt = this.#clock.now();
    while (this.#applied < this.#commit) {
      const entry = this.#log.entryAt(this.#applied + 1)!;
      onApplied(entry, this.#apply(entry));
      if (this.#clock.now() - startedAt >= Applier.maxSliceMs) break;
    }
    return this.#applied >= this.#commit;
  }

  /** Replaces applied entries by a snapshot if the log has outgrown its bounds; doesn't wait for the disk. */
  compactIfNeeded(): void {
    if (!this.#compaction.shouldCompact) return;
    const members = this.#memberLog.membersForSnapshot(this.#applied);
    void this.#compaction.compact(this.#applied, this.metadata.snapshot(members));
  }

  /** Replaces the state machine by the leader's snapshot; the caller has already replaced the log. */
  install(index: number, state: Uint8Array): void {
    this.#memberLog.onSnapshotInstalled(this.metadata.install(state));
    this.#commit = this.#applied = index;
  }

  #apply(entry: Entry): ApplyResult {
    this.#applied += 1;
    this.#compaction.recordApplied(entry);
    if (entry.kind === entryKind.command) return this.metadata.apply(entry.index, entry.data);
    this.metadata.revision = entry.index;
    return { outcome: "done", revision: entry.index, kvs: [], changes: [] };
  }
}
