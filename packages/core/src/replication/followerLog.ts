import type { Append, Snapshot } from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import type { ReplicaLog } from "./replicaLog.js";
import { SnapshotAssembly } from "./snapshotAssembly.js";

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
  readonly #assembly = new SnapshotAssembly();

  /** Called where the sender of a term has another entry than this log at an index that is committed here. */
  readonly #onDivergence: (index: number) => void;
  /** What cannot be read is refused before anything is replaced by it. */
  readonly #isReadable: (state: Uint8Array) => boolean;

  constructor(
    log: ReplicaLog,
    self: string,
    onCommit: (index: number) => void,
    onSnapshot: (index: number, state: Uint8Array) => void,
    isReadable: (state: Uint8Array) => boolean = () => true,
    onDivergence: (index: number) => void = () => undefined,
  ) {
    this.#log = log;
    this.#self = self;
    this.#onCommit = onCommit;
    this.#onSnapshot = onSnapshot;
    this.#isReadable = isReadable;
    this.#onDivergence = onDivergence;
  }

  async take(append: Append, commit: number): Promise<BodyInit> {
    if (append.term < this.#log.term || !FollowerLog.#isSane(append)) return this.#replyTo(append, false, 0);
    this.#promise(append.term);
    if (this.#isConflicting(append, commit))
      return this.#replyTo(append, false, this.#conflictHint(append.prevIndex, commit));
    this.#assembly.drop();
    const match = append.prevIndex + append.entries.length;
    this.#agree(append.term, match);
    const synced = this.#log.agree(append.prevIndex, append.entries);
    this.#onCommit(Math.min(append.commit, match));
    await synced;
    return this.#replyTo(append, true, match);
  }

  /**
   * Takes a piece of a snapshot, which stands for committed entries. Where the log has its last entry, it has all of
   * them, and what follows stays (Raft, section 7, rule 6); else, once all pieces are there, the snapshot takes the
   * place of the whole log.
   */
  async takeSnapshot(piece: Snapshot, commit: number): Promise<BodyInit> {
    const { term, index, indexTerm } = piece;
    const isSane = [term, index, indexTerm].every(FollowerLog.#isCount);
    if (term < this.#log.term || !isSane) return this.#replyTo(piece, false, 0);
    this.#promise(term);
    if (index <= commit || this.#log.termAt(index) === indexTerm) {
      this.#agree(term, index);
      this.#onCommit(index);
      await this.#log.syncedUpTo(index);
      return this.#replyTo(piece, true, index);
    }
    const outcome = this.#assembly.take(piece);
    if (outcome.kind !== "whole") return this.#replyTo(piece, false, 0, outcome.received);
    if (!this.#isReadable(outcome.state)) return this.#replyTo(piece, false, 0);
    this.#agree(term, index);
    const installed = this.#log.install(index, indexTerm, outcome.state);
    this.#onSnapshot(index, outcome.state);
    await installed;
    return this.#replyTo(piece, true, index);
  }

  /** The sender of a term has committed its log up to an index. */
  onHeartbeatReply(term: number, index: number): void {
    if (term === this.#log.term && term === this.#agreed.term && FollowerLog.#isCount(index))
      this.#onCommit(Math.min(index, this.#agreed.index));
  }

  #agree(term: number, index: number): void {
    this.#agreed = { term, index: this.#agreed.term === term ? Math.max(this.#agreed.index, index) : index };
  }

  /** No answer leaves before the term is synced: each waits for it in `#reply`. */
  #promise(term: number): void {
    if (term > this.#log.term) void this.#log.promise(term, "");
  }

  /** Whether the log differs at prevIndex, or would lose what is committed. */
  #isConflicting({ prevIndex, prevTerm, entries }: Append, commit: number): boolean {
    const isBehindBase = prevIndex < this.#log.baseIndex;
    if (!isBehindBase && this.#log.termAt(prevIndex) !== prevTerm) {
      if (prevIndex <= commit) this.#onDivergence(prevIndex);
      return true;
    }
    const other = entries.find(
      ({ index, term }) => index > this.#log.baseIndex && index <= commit && this.#log.termAt(index) !== term,
    );
    if (other !== undefined) this.#onDivergence(other.index);
    return other !== undefined;
  }

  /**
   * Where the sender may try next: before the whole run of a term that conflicts (Raft, section 5.3), not before
   * what is committed. It only says where to ask; what is agreed on is judged by the append that follows.
   */
  #conflictHint(prevIndex: number, commit: number): number {
    const { lastIndex, baseIndex } = this.#log;
    const shared = prevIndex > lastIndex ? lastIndex : this.#log.beforeTermOf(prevIndex);
    return Math.min(prevIndex - 1, Math.max(shared, commit, baseIndex));
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

  /** Resolves once the term it names is synced; what was taken in an earlier term is not taken in that one. */
  async #replyTo(
    to: { group: string; term: number; round: number; sender: string; index?: number },
    isAccepted: boolean,
    match: number,
    received = 0,
  ): Promise<BodyInit> {
    await this.#log.termSynced();
    return {
      case: "appendReply",
      value: {
        group: to.group,
        term: this.#log.term,
        sender: this.#self,
        receiver: to.sender,
        isAccepted: isAccepted && to.term === this.#log.term,
        match,
        round: to.round,
        snapshotIndex: to.index ?? 0,
        received,
      },
    };
  }
}
