import type { Append, Snapshot } from "../gen/cranetrack_pb.js";
import type { BodyInit } from "../rpc/wire.js";
import { DiskRoom } from "../storage/diskRoom.js";
import type { ReplicaLog } from "./replicaLog.js";
import { SnapshotAssembly } from "./snapshotAssembly.js";

/** What a follower is made of. */
export interface FollowerLogParts {
  readonly log: ReplicaLog;
  /** The name under which this replica replies. */
  readonly self: string;
  /** Called with the index up to which the log may be applied, once the entries are in the log. */
  readonly onCommit: (index: number) => void;
  /** Called with a complete snapshot that has replaced the log, before the snapshot is synced. */
  readonly onSnapshot: (index: number, state: Uint8Array) => void;
  /** Checks a snapshot before it replaces anything; a snapshot that cannot be read is refused. */
  readonly isReadable?: (state: Uint8Array) => boolean;
  /** Called with a committed index at which the leader's log has another entry than this one. */
  readonly onDivergence?: (index: number) => void;
  /** Limits what is taken from a leader; without it everything is, as for the state of the system itself. */
  readonly room?: DiskRoom;
}

/**
 * The follower of a replicated log: stores the entries and snapshots that the leader sends. It replies only after
 * everything that the reply vouches for is synced to disk. Where the disk lacks room it takes the entries before those
 * that do not fit, and says so.
 * Invariant: a message with a term below the stored one is refused, whichever node sends it.
 */
export class FollowerLog {
  readonly #log: ReplicaLog;
  readonly #parts: Required<FollowerLogParts>;
  /** The highest index up to which this log is known to match the log of the term's leader. */
  #matched = { term: 0, index: 0 };
  readonly #assembly = new SnapshotAssembly();
  /** The size of the entry or snapshot that the disk last had no room for; 0 if there was room since. */
  #refusedBytes = 0;

  constructor(parts: FollowerLogParts) {
    this.#parts = {
      isReadable: () => true,
      onDivergence: () => undefined,
      room: new DiskRoom({}),
      ...parts,
    };
    this.#log = parts.log;
  }

  /**
   * Appends the leader's entries, replacing entries that conflict; `commit` is the index committed on this node. The
   * reply is a refusal with a hint if the logs differ at `prevIndex` or the append would remove a committed entry.
   */
  async handleAppend(append: Append, commit: number): Promise<BodyInit> {
    if (append.term < this.#log.term || !FollowerLog.#isWellFormed(append)) return this.#replyTo(append, false, 0);
    this.#adoptTerm(append.term);
    if (this.#isConflicting(append, commit))
      return this.#replyTo(append, false, this.#conflictHint(append.prevIndex, commit));
    this.#assembly.reset();
    const entries = this.#fittingEntries(append);
    const match = append.prevIndex + entries.length;
    this.#recordMatch(append.term, match);
    const entriesSynced = this.#log.reconcile(append.prevIndex, entries);
    this.#parts.onCommit(Math.min(append.commit, match));
    await entriesSynced;
    return this.#replyTo(append, true, match);
  }

  /**
   * Handles one piece of a snapshot, which covers committed entries. If the log contains the last entry that the
   * snapshot covers, it contains all of them, and the entries after it are kept (Raft, section 7, rule 6). Otherwise
   * the snapshot replaces the whole log once all its pieces have arrived.
   */
  async handleSnapshotPiece(piece: Snapshot, commit: number): Promise<BodyInit> {
    const { term, index, indexTerm } = piece;
    const isWellFormed = [term, index, indexTerm].every(FollowerLog.#isNonNegativeInteger);
    if (term < this.#log.term || !isWellFormed) return this.#replyTo(piece, false, 0);
    this.#adoptTerm(term);
    if (index <= commit || this.#log.termAt(index) === indexTerm) {
      this.#recordMatch(term, index);
      this.#parts.onCommit(index);
      await this.#log.syncedUpTo(index);
      return this.#replyTo(piece, true, index);
    }
    if (!this.#hasRoomFor(piece.size - this.#log.storedBytes)) {
      this.#assembly.reset();
      return this.#replyTo(piece, false, 0);
    }
    const outcome = this.#assembly.addPiece(piece);
    if (outcome.kind !== "whole") return this.#replyTo(piece, false, 0, outcome.received);
    if (!this.#parts.isReadable(outcome.state)) return this.#replyTo(piece, false, 0);
    this.#recordMatch(term, index);
    const installed = this.#log.installSnapshot(index, indexTerm, outcome.state);
    this.#parts.onSnapshot(index, outcome.state);
    await installed;
    return this.#replyTo(piece, true, index);
  }

  /** Handles the news that the leader of `term` has committed its log up to `index`. */
  onHeartbeatReply(term: number, index: number): void {
    if (term === this.#log.term && term === this.#matched.term && FollowerLog.#isNonNegativeInteger(index))
      this.#parts.onCommit(Math.min(index, this.#matched.index));
  }

  /** The entries of an append up to the first one that the disk has no room for. */
  #fittingEntries({ entries }: Append): Append["entries"] {
    const addedBytes = entries.map(({ index, term, data }) => (this.#log.termAt(index) === term ? 0 : data.length));
    const totalBytes = addedBytes.reduce((sum, bytes) => sum + bytes, 0);
    if (totalBytes === 0 || this.#hasRoomFor(totalBytes)) return entries;
    let sumBytes = 0;
    const count = addedBytes.findIndex((bytes) => !this.#hasRoomFor((sumBytes += bytes)));
    return entries.slice(0, count);
  }

  #hasRoomFor(addedBytes: number): boolean {
    const hasRoom = this.#parts.room.hasReplicationRoom(addedBytes);
    this.#refusedBytes = hasRoom ? 0 : addedBytes;
    return hasRoom;
  }

  #recordMatch(term: number, index: number): void {
    this.#matched = { term, index: this.#matched.term === term ? Math.max(this.#matched.index, index) : index };
  }

  /** Does not wait for the write: every reply waits in `#replyTo` until the term is synced. */
  #adoptTerm(term: number): void {
    if (term > this.#log.term) void this.#log.saveTermAndVote(term, "");
  }

  /** Whether the log differs from the leader's at prevIndex, or the append would remove a committed entry. */
  #isConflicting({ prevIndex, prevTerm, entries }: Append, commit: number): boolean {
    const isBehindBase = prevIndex < this.#log.baseIndex;
    if (!isBehindBase && this.#log.termAt(prevIndex) !== prevTerm) {
      if (prevIndex <= commit) this.#parts.onDivergence(prevIndex);
      return true;
    }
    const conflicting = entries.find(
      ({ index, term }) => index > this.#log.baseIndex && index <= commit && this.#log.termAt(index) !== term,
    );
    if (conflicting !== undefined) this.#parts.onDivergence(conflicting.index);
    return conflicting !== undefined;
  }

  /**
   * The prevIndex that the leader may try next: before all entries of the conflicting term (Raft, section 5.3), but
   * not below the committed index. It is only a hint; the next append checks whether the logs match there.
   */
  #conflictHint(prevIndex: number, commit: number): number {
    const { lastIndex, baseIndex } = this.#log;
    const candidate = prevIndex > lastIndex ? lastIndex : this.#log.beforeTermOf(prevIndex);
    return Math.min(prevIndex - 1, Math.max(candidate, commit, baseIndex));
  }

  static #isNonNegativeInteger(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
  }

  /** Numbers are non-negative integers, and the entries are contiguous from prevIndex on. */
  static #isWellFormed({ term, prevIndex, prevTerm, commit, entries }: Append): boolean {
    return (
      [term, prevIndex, prevTerm, commit].every(FollowerLog.#isNonNegativeInteger) &&
      entries.every(
        (entry, i) =>
          entry.index === prevIndex + 1 + i && FollowerLog.#isNonNegativeInteger(entry.term) && entry.term <= term,
      )
    );
  }

  /**
   * Resolves once the term that the reply contains is synced. If the term has risen since the request, the reply is a
   * refusal: a request accepted in an earlier term does not count as accepted in the later one.
   */
  async #replyTo(
    request: { group: string; term: number; round: number; sender: string; index?: number },
    isAccepted: boolean,
    match: number,
    received = 0,
  ): Promise<BodyInit> {
    await this.#log.termSynced();
    return {
      case: "appendReply",
      value: {
        group: request.group,
        term: this.#log.term,
        sender: this.#parts.self,
        receiver: request.sender,
        isAccepted: isAccepted && request.term === this.#log.term,
        match,
        round: request.round,
        snapshotIndex: request.index ?? 0,
        received,
        isShortOfRoom: this.#parts.room.isShort,
        isOutOfRoom: this.#refusedBytes > 0 && !this.#parts.room.hasReplicationRoom(this.#refusedBytes),
      },
    };
  }
}
