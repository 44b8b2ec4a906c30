import { create, fromBinary } from "@bufbuild/protobuf";
import { MembersSchema, type Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { entryKind } from "./storeLog.js";

/**
 * Who the members of the replicated log are, as the log itself says.
 * Invariant: the members in force are the newest in the log, committed or not; without any, the snapshot's.
 */
export class MemberLog {
  readonly #log: ReplicaLog;
  #ofSnapshot: Members | undefined;
  #members: Members = create(MembersSchema, {});
  #index = 0;
  #term = -1;

  constructor(log: ReplicaLog) {
    this.#log = log;
  }

  get members(): Members {
    return this.#members;
  }

  /** Where the members in force stand in the log. */
  get index(): number {
    return this.#index;
  }

  /** Looks at the log again; true where the members changed. */
  look(): boolean {
    const found = this.#newest();
    const isChanged = found !== this.#members;
    this.#members = found;
    return isChanged;
  }

  /** The members that are in force once the log up to an index is. */
  upTo(index: number): Members {
    return this.#find(index)?.members ?? this.#ofSnapshot ?? create(MembersSchema, {});
  }

  /** The members named up to an index, to be kept in a snapshot that ends there. */
  snapshot(last: number): Members {
    this.#ofSnapshot = this.upTo(last);
    return this.#ofSnapshot;
  }

  installed(members: Members | undefined): void {
    this.#ofSnapshot = members;
    this.#term = -1;
  }

  #newest(): Members {
    const isSame = this.#index > this.#log.baseIndex && this.#log.termAt(this.#index) === this.#term;
    if (isSame && this.#find(this.#log.lastIndex, this.#index) === undefined) return this.#members;
    const found = this.#find(this.#log.lastIndex);
    this.#index = found?.index ?? this.#log.baseIndex;
    this.#term = found?.term ?? this.#log.baseTerm;
    return found?.members ?? this.#ofSnapshot ?? create(MembersSchema, {});
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
