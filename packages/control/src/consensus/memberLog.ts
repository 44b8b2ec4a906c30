import { create, fromBinary } from "@bufbuild/protobuf";
import { MembersSchema, type Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { entryKind } from "./storeLog.js";

/**
 * Tracks the members of the Raft group, which are configured by entries of the log (Raft, section 6; Ongaro's thesis,
 * section 4.1).
 * Invariant: the current members are those of the newest members entry, committed or not; if there is none, those of
 * the snapshot.
 */
export class MemberLog {
  readonly #log: ReplicaLog;
  #snapshotMembers: Members | undefined;
  #members: Members = create(MembersSchema, {});
  #membersIndex = 0;
  #membersTerm = -1;
  /** Index and term of the last entry that was scanned for members. */
  #scannedIndex = 0;
  #scannedTerm = -1;

  constructor(log: ReplicaLog) {
    this.#log = log;
  }

  /** The current members, committed or not; no voters if the log is blank. */
  get members(): Members {
    return this.#members;
  }

  /** Index of the entry that holds the current members, or of the snapshot that does. */
  get index(): number {
    return this.#membersIndex;
  }

  /** Updates the members after a change of the log; returns whether they changed. */
  refresh(): boolean {
    const found = this.#findNewest();
    const isChanged = found !== this.#members;
    this.#members = found;
    return isChanged;
  }

  /** The members as configured by the log up to `index`. */
  membersAt(index: number): Members {
    return this.#find(index)?.members ?? this.#snapshotMembers ?? create(MembersSchema, {});
  }

  /** The members as of index `last`, for a snapshot that ends there; remembers them as the snapshot's members. */
  membersForSnapshot(last: number): Members {
    this.#snapshotMembers = this.membersAt(last);
    return this.#snapshotMembers;
  }

  /** A snapshot replaced the log: its members are current until a later entry changes them. */
  onSnapshotInstalled(members: Members | undefined): void {
    this.#snapshotMembers = members;
    this.#membersTerm = -1;
  }

  #findNewest(): Members {
    const isMembersEntryUnchanged =
      this.#membersIndex >= this.#log.baseIndex && this.#log.termAt(this.#membersIndex) === this.#membersTerm;
    // If an entry still has the same term, it and all entries before it are unchanged (log matching).
    const isScannedPartUnchanged = this.#log.termAt(this.#scannedIndex) === this.#scannedTerm;
    const after = isScannedPartUnchanged ? Math.max(this.#membersIndex, this.#scannedIndex) : this.#membersIndex;
    this.#scannedIndex = this.#log.lastIndex;
    this.#scannedTerm = this.#log.lastTerm;
    if (isMembersEntryUnchanged && this.#find(this.#log.lastIndex, after) === undefined) return this.#members;
    const found = this.#find(this.#log.lastIndex);
    this.#membersIndex = found?.index ?? this.#log.baseIndex;
    this.#membersTerm = found?.term ?? this.#log.baseTerm;
    return found?.members ?? this.#snapshotMembers ?? create(MembersSchema, {});
  }

  /** The last members entry with an index of at most `last` and above `after`. */
  #find(last: number, after = this.#log.baseIndex): { members: Members; index: number; term: number } | undefined {
    for (let i = last; i > after; i -= 1) {
      const entry = this.#log.entryAt(i);
      if (entry?.kind !== entryKind.members) continue;
      return { members: fromBinary(MembersSchema, entry.data), index: i, term: entry.term };
    }
    return undefined;
  }
}
