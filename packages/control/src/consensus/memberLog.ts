import { create, fromBinary } from "@bufbuild/protobuf";
import { MembersSchema, type Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { entryKind } from "./storeLog.js";

/**
 * Who the members of the Raft group are, as the log itself says (Raft, section 6; thesis, section 4.1).
 * Invariant: the members in force are the newest in the log, committed or not; without any, the snapshot's.
 */
export class MemberLog {
  readonly #log: ReplicaLog;
  #snapshotMembers: Members | undefined;
  #members: Members = create(MembersSchema, {});
  #index = 0;
  #term = -1;
  /** Up to which entry the log was read for members, and its term. */
  #readIndex = 0;
  #readTerm = -1;

  constructor(log: ReplicaLog) {
    this.#log = log;
  }

  /** The members in force, committed or not; none in a blank log. */
  get members(): Members {
    return this.#members;
  }

  /** Index of the entry that names the members in force. */
  get index(): number {
    return this.#index;
  }

  /** Reads the log again, after it changed; true where the members changed. */
  refresh(): boolean {
    const found = this.#newest();
    const isChanged = found !== this.#members;
    this.#members = found;
    return isChanged;
  }

  /** The members that are in force once the log up to an index is. */
  membersAt(index: number): Members {
    return this.#find(index)?.members ?? this.#snapshotMembers ?? create(MembersSchema, {});
  }

  /** The members named up to an index, to be kept in a snapshot that ends there. */
  membersForSnapshot(last: number): Members {
    this.#snapshotMembers = this.membersAt(last);
    return this.#snapshotMembers;
  }

  /** A snapshot took the place of the log: its members are in force until an entry names others. */
  onSnapshotInstalled(members: Members | undefined): void {
    this.#snapshotMembers = members;
    this.#term = -1;
  }

  #newest(): Members {
    const isSame = this.#index >= this.#log.baseIndex && this.#log.termAt(this.#index) === this.#term;
    // Where an entry has the term that it had, all entries before it are the same (log matching).
    const isReadSame = this.#log.termAt(this.#readIndex) === this.#readTerm;
    const after = isReadSame ? Math.max(this.#index, this.#readIndex) : this.#index;
    this.#readIndex = this.#log.lastIndex;
    this.#readTerm = this.#log.lastTerm;
    if (isSame && this.#find(this.#log.lastIndex, after) === undefined) return this.#members;
    const found = this.#find(this.#log.lastIndex);
    this.#index = found?.index ?? this.#log.baseIndex;
    this.#term = found?.term ?? this.#log.baseTerm;
    return found?.members ?? this.#snapshotMembers ?? create(MembersSchema, {});
  }

  /** The last entry about members up to an index, and after another. */
  #find(last: number, after = this.#log.baseIndex): { members: Members; index: number; term: number } | undefined {
    for (let i = last; i > after; i -= 1) {
      const entry = this.#log.at(i);
      if (entry?.kind !== entryKind.members) continue;
      return { members: fromBinary(MembersSchema, entry.data), index: i, term: entry.term };
    }
    return undefined;
  }
}
