import type { Append, Snapshot } from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import type { ReplicaLog } from "./replicaLog.js";

/**
 * The taking side of a replicated log. Answers only after the disk has what it answers for.
 * Invariant: a lower term than the promised one is refused, whoever sends it.
 */
export class FollowerLog {
  readonly #log: ReplicaLog;
  readonly #self: string;
  /** Called with how far the log may be applied, after the entries are in it. */
  readonly #onCommit: (index: number) => void;
  readonly #onSnapshot: (index: number, state: Uint8Array) => void;
  /** Up to where this log is known to be the one of the term's sender. */
  #agreed = { term: 0, index: 0 };

  /** What cannot be read is refused before anything is replaced by it. */
  readonly #isReadable: (state: Uint8Array) => boolean;

  constructor(
    log: ReplicaLog,
    self: string,
    onCommit: (index: number) => void,
    onSnapshot: (index: number, state: Uint8Array) => void,
    isReadable: (state: Uint8Array) => boolean = () => true,
  ) {
    this.#log = log;
    this.#self = self;
    this.#onCommit = onCommit;
    this.#onSnapshot = onSnapshot;
    this.#isReadable = isReadable;
  }

  async take(append: Append, commit: number): Promise<BodyInit> {
    if (append.term < this.#log.term || !FollowerLog.#isSane(append)) return this.#receipt(append, false, 0);
    const promised = append.term > this.#log.term ? this.#log.promise(append.term, "") : undefined;
    const isBehindBase = append.prevIndex < this.#log.baseIndex;
    if (!isBehindBase && this.#log.termAt(append.prevIndex) !== append.prevTerm) {
      await promised;
      return this.#receipt(
        append,
        false,
        Math.min(append.prevIndex - 1, Math.max(commit, this.#log.baseIndex), this.#log.lastIndex),
      );
    }
    const match = append.prevIndex + append.entries.length;
    this.#agree(append.term, match);
    const synced = this.#log.agree(append.prevIndex, append.entries);
    this.#onCommit(Math.min(append.commit, match));
    await promised;
    await synced;
    return this.#receipt(append, append.term === this.#log.term, match);
  }

  async takeSnapshot(snapshot: Snapshot, commit: number): Promise<BodyInit> {
    const isSane = [snapshot.term, snapshot.index, snapshot.indexTerm].every(FollowerLog.#isCount);
    if (snapshot.term < this.#log.term || !isSane || !this.#isReadable(snapshot.state))
      return this.#receipt(snapshot, false, 0);
    if (snapshot.term > this.#log.term) void this.#log.promise(snapshot.term, "");
    this.#agree(snapshot.term, snapshot.index);
    if (snapshot.index > commit) {
      const installed = this.#log.install(snapshot.index, snapshot.indexTerm, snapshot.state);
      this.#onSnapshot(snapshot.index, snapshot.state);
      await installed;
    }
    return this.#receipt(snapshot, true, snapshot.index);
  }

  /** The sender of a term has committed its log up to an index. */
  heed(term: number, index: number): void {
    if (term === this.#log.term && term === this.#agreed.term && FollowerLog.#isCount(index))
      this.#onCommit(Math.min(index, this.#agreed.index));
  }

  #agree(term: number, index: number): void {
    this.#agreed = { term, index: this.#agreed.term === term ? Math.max(this.#agreed.index, index) : index };
  }

  static #isCount(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
  }

  /** Counts are counts, and entries follow one another from prevIndex on. */
  static #isSane({ term, prevIndex, prevTerm, commit, entries }: Append): boolean {
    return (
      [term, prevIndex, prevTerm, commit].every(FollowerLog.#isCount) &&
      entries.every(
        (entry, i) => entry.index === prevIndex + 1 + i && FollowerLog.#isCount(entry.term) && entry.term <= term,
      )
    );
  }

  #receipt(to: { group: string; round: number; sender: string }, isTaken: boolean, match: number): BodyInit {
    return {
      case: "appendReceipt",
      value: {
        group: to.group,
        term: this.#log.term,
        sender: this.#self,
        receiver: to.sender,
        isTaken,
        match,
        round: to.round,
      },
    };
  }
}
