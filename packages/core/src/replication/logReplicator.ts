import { EventEmitter } from "node:events";
import type { AppendReply } from "../gen/cranetrack_pb.js";
import type { Clock } from "../runtime/clock.js";
import type { BodyInit } from "../rpc/wire.js";
import type { ReplicaLog } from "./replicaLog.js";
import { SnapshotSender, type SnapshotImage } from "./snapshotSender.js";

interface Peer {
  next: number;
  match: number;
  sentAt: number;
  /** The commit index it was last sent. */
  sentCommit: number;
  /** An append or a snapshot's piece is unanswered, and up to where its answer will tell of the log. */
  isWaiting: boolean;
  awaited: number;
  /** When the oldest unanswered heartbeat was sent, and its round; how long answers take, slow ones remembered. */
  askedAt: number | undefined;
  askedRound: number;
  answerMs: number;
  round: number;
  lastContactAt: number;
  /** Set while it is sent a snapshot, because the entries that it lacks are not here any more. */
  transfer: SnapshotSender | undefined;
}

/**
 * The leader of a replicated log: sends what each replica lacks, and decides what is committed (Raft, section 5.3).
 * Invariant: `commit` only rises, and passes an entry only when it is synced on a majority of every
 * voter set and an entry of this term is behind or at it.
 */
export class LogReplicator extends EventEmitter<{ committed: [index: number]; deposed: [term: number] }> {
  readonly #log: ReplicaLog;
  readonly #clock: Clock;
  readonly #self: string;
  readonly #term: number;
  readonly #send: (id: string, body: BodyInit) => void;
  readonly #peers = new Map<string, Peer>();
  readonly #rounds: Array<{ round: number; resolve: (isConfirmed: boolean) => void }> = [];
  /** One set, or two while a set is being swapped: both must agree. */
  #sets: string[][] = [];
  #round = 0;
  #isOver = false;
  commit: number;
  /** The newest snapshot that some replica was sent. */
  #image: SnapshotImage | undefined;

  constructor(parts: {
    log: ReplicaLog;
    clock: Clock;
    self: string;
    term: number;
    commit: number;
    send: (id: string, body: BodyInit) => void;
  }) {
    super();
    this.#log = parts.log;
    this.#clock = parts.clock;
    this.#self = parts.self;
    this.#term = parts.term;
    this.#send = parts.send;
    this.commit = parts.commit;
  }

  /** Who counts, and who else gets a copy. */
  setMembers(sets: string[][], learners: readonly string[]): void {
    this.#sets = sets.map((set) => [...set]);
    const wanted = new Set([...sets.flat(), ...learners]);
    wanted.delete(this.#self);
    for (const id of this.#peers.keys()) if (!wanted.has(id)) this.#peers.delete(id);
    for (const id of wanted) {
      if (!this.#peers.has(id))
        this.#peers.set(id, {
          next: this.#log.lastIndex + 1,
          match: 0,
          sentAt: -Infinity,
          sentCommit: -1,
          isWaiting: false,
          awaited: 0,
          askedAt: undefined,
          askedRound: 0,
          answerMs: 0,
          round: 0,
          lastContactAt: this.#clock.now(),
          transfer: undefined,
        });
    }
    this.#advance();
  }

  /** The highest index that is known to be synced on a replica. */
  matchOf(id: string): number {
    return id === this.#self ? this.#log.syncedIndex : (this.#peers.get(id)?.match ?? 0);
  }

  /** Milliseconds since a replica last replied; 0 for this node. */
  sinceContactMs(id: string): number {
    return id === this.#self ? 0 : this.#clock.now() - (this.#peers.get(id)?.lastContactAt ?? -Infinity);
  }

  /** Milliseconds since a majority of every set was last heard. */
  sinceMajorityContactMs(): number {
    return Math.max(
      ...this.#sets.map((set) => {
        const ages = set.map((id) => this.sinceContactMs(id)).sort((a, b) => a - b);
        return ages[Math.floor(set.length / 2)] ?? Infinity;
      }),
    );
  }

  /**
   * How long a majority of every set takes to answer heartbeats, or has not answered yet. Entries are answered once
   * they are synced: that a disk takes long says nothing of the sender.
   */
  get answerMs(): number {
    const now = this.#clock.now();
    const timeOf = (peer: Peer): number => Math.max(peer.answerMs, now - (peer.askedAt ?? now));
    const slowest = this.#sets.map((set) => {
      const peers = set.map((id) => this.#peers.get(id));
      const times = peers.map((peer) => (peer === undefined ? 0 : timeOf(peer)));
      return times.sort((a, b) => a - b)[Math.floor(set.length / 2)] ?? 0;
    });
    return Math.max(0, ...slowest);
  }

  /** Own entries were synced, or new ones are there to send. */
  sendNew(): void {
    this.#advance();
    for (const [id, peer] of this.#peers)
      if (!peer.isWaiting && peer.next <= this.#log.lastIndex) this.#sendTo(id, peer);
  }

  /**
   * Sends heartbeats to every replica. What got lost on the way is found out by the refusal of the next append,
   * whose hint says
   * what to send again; an answer that is late changes nothing in what is known. A replica that has heard everything
   * is sent nothing until `idleMs` after the last time.
   */
  sendHeartbeats(idleMs = 0): void {
    for (const [id, peer] of this.#peers) {
      const isUpToDate = !peer.isWaiting && peer.next > this.#log.lastIndex && peer.sentCommit === this.commit;
      if (isUpToDate && this.#clock.now() - peer.sentAt < idleMs) continue;
      this.#sendTo(id, peer);
    }
  }

  /** Asks those who still owe the answer of a disk for one of the network. */
  heartbeatWaiting(): void {
    this.#round += 1;
    for (const [id, peer] of this.#peers)
      if (peer.isWaiting && peer.transfer === undefined) this.#sendHeartbeat(id, peer);
  }

  /** Replicas that have all that is committed and were not sent that it is: they count as notified from now on. */
  takeUnnotified(): string[] {
    if (this.#isOver) return [];
    const found = [...this.#peers].filter(([, peer]) => peer.sentCommit < this.commit && peer.next > this.commit);
    for (const [, peer] of found) peer.sentCommit = this.commit;
    return found.map(([id]) => id);
  }

  /** Resolves true once a majority has answered something sent after this call: nobody has taken over. */
  confirm(): Promise<boolean> {
    if (this.#isOver) return Promise.resolve(false);
    return new Promise((resolve) => {
      const isFirst = this.#rounds.length === 0 || this.#rounds.at(-1)!.round <= this.#round;
      this.#rounds.push({ round: this.#round + 1, resolve });
      if (isFirst && this.#rounds[0]!.round === this.#round + 1) this.#nextRound();
      this.#resolveRounds();
    });
  }

  /** A reply that is late, repeated or of another term changes nothing but what it proves. */
  handleReply(reply: AppendReply): void {
    const peer = this.#peers.get(reply.sender);
    if (peer === undefined || ![reply.term, reply.round, reply.match].every(Number.isSafeInteger)) return;
    if (reply.term > this.#term) {
      this.emit("deposed", reply.term);
      return;
    }
    if (reply.term !== this.#term || this.#isOver) return;
    peer.lastContactAt = this.#clock.now();
    this.#onRoundAnswered(peer, reply.round);
    if (!reply.isAccepted || reply.match >= peer.awaited) peer.isWaiting = false;
    const before = peer.next;
    const isPieceTaken = LogReplicator.#applyReply(peer, reply);
    this.#advance();
    this.#resolveRounds();
    // A refusal that taught nothing new is not answered at once, or two nodes could keep each other busy for ever.
    const hasMore = reply.isAccepted ? peer.next <= this.#log.lastIndex : isPieceTaken || peer.next !== before;
    if (hasMore && !peer.isWaiting) this.#sendTo(reply.sender, peer);
  }

  #onRoundAnswered(peer: Peer, round: number): void {
    peer.round = Math.max(peer.round, round);
    if (peer.askedAt === undefined || round < peer.askedRound) return;
    peer.answerMs = Math.max(this.#clock.now() - peer.askedAt, peer.answerMs * 0.9);
    peer.askedAt = undefined;
  }

  /** Takes in what a reply says of a replica's log; true where the next piece of a snapshot may go. */
  static #applyReply(peer: Peer, reply: AppendReply): boolean {
    if (reply.isAccepted) {
      peer.match = Math.max(peer.match, reply.match);
      peer.next = Math.max(peer.next, peer.match + 1);
      if (peer.transfer !== undefined && peer.match >= peer.transfer.image.index) peer.transfer = undefined;
      return false;
    }
    if (peer.transfer !== undefined) return peer.transfer.acknowledge(reply.snapshotIndex, reply.received);
    if (reply.snapshotIndex === 0) peer.next = Math.max(peer.match + 1, Math.min(peer.next - 1, reply.match + 1));
    return false;
  }

  /** Sends nothing any more; reads that wait for a confirmation are refused. */
  stop(): void {
    this.#isOver = true;
    for (const { resolve } of this.#rounds.splice(0)) resolve(false);
  }

  #nextRound(): void {
    this.#round += 1;
    for (const [id, peer] of this.#peers) this.#sendHeartbeat(id, peer);
  }

  /**
   * A replica that has everything is sent an empty append. One that has not is sent such a one behind what it is known
   * to have synced: it is answered without its disk, so that reads and the watch over slow leaders wait for the
   * network alone (thesis, 6.4).
   */
  #sendHeartbeat(id: string, peer: Peer): void {
    if (!peer.isWaiting && peer.next > this.#log.lastIndex) return this.#sendTo(id, peer);
    const prevTerm = peer.match < this.#log.baseIndex ? undefined : this.#log.termAt(peer.match);
    if (this.#isOver || peer.transfer !== undefined || prevTerm === undefined) return this.#sendTo(id, peer);
    this.#expectAnswer(peer);
    this.#send(id, { case: "append", value: { ...this.#head(id), prevIndex: peer.match, prevTerm, entries: [] } });
  }

  #expectAnswer(peer: Peer): void {
    if (peer.askedAt !== undefined) return;
    peer.askedAt = this.#clock.now();
    peer.askedRound = this.#round;
  }

  #head(id: string): { group: string; term: number; sender: string; receiver: string; commit: number; round: number } {
    const { group } = this.#log;
    return { group, term: this.#term, sender: this.#self, receiver: id, commit: this.commit, round: this.#round };
  }

  #sendTo(id: string, peer: Peer): void {
    if (this.#isOver) return;
    const prevTerm = peer.next - 1 < this.#log.baseIndex ? undefined : this.#log.termAt(peer.next - 1);
    const body = prevTerm === undefined ? this.#nextPiece(id, peer) : this.#nextAppend(id, peer, prevTerm);
    if (body === undefined) return;
    peer.sentAt = this.#clock.now();
    peer.sentCommit = this.commit;
    peer.isWaiting = true;
    this.#send(id, body);
  }

  #nextAppend(id: string, peer: Peer, prevTerm: number): BodyInit {
    peer.transfer = undefined;
    const entries = this.#log.after(peer.next - 1);
    const append = { ...this.#head(id), prevIndex: peer.next - 1, prevTerm, entries };
    peer.next += entries.length;
    peer.awaited = peer.next - 1;
    if (entries.length === 0 && !peer.isWaiting) this.#expectAnswer(peer);
    return { case: "append", value: append };
  }

  #nextPiece(id: string, peer: Peer): BodyInit | undefined {
    peer.transfer ??= new SnapshotSender(this.#newestImage());
    const piece = peer.transfer.next(this.#clock.now());
    if (piece === undefined) return undefined;
    peer.awaited = 0;
    const { index, indexTerm, state, checksum } = peer.transfer.image;
    const value = {
      group: this.#log.group,
      term: this.#term,
      sender: this.#self,
      receiver: id,
      index,
      indexTerm,
      state: piece.bytes,
      round: this.#round,
      offset: piece.offset,
      size: state.length,
      checksum,
    };
    return { case: "snapshot", value };
  }

  #newestImage(): SnapshotImage {
    if (this.#image?.index !== this.#log.snapshotIndex) this.#image = SnapshotSender.imageOf(this.#log);
    return this.#image!;
  }

  #resolveRounds(): void {
    const confirmed = Math.min(
      ...this.#sets.map((set) => {
        const rounds = set
          .map((id) => (id === this.#self ? this.#round : (this.#peers.get(id)?.round ?? 0)))
          .sort((a, b) => b - a);
        return rounds[Math.floor(set.length / 2)] ?? 0;
      }),
    );
    while (this.#rounds.length > 0 && this.#rounds[0]!.round <= confirmed) this.#rounds.shift()!.resolve(true);
    if (this.#rounds.length > 0 && confirmed >= this.#round) this.#nextRound();
  }

  #advance(): void {
    if (this.#sets.length === 0 || this.#isOver) return;
    const agreed = Math.min(
      ...this.#sets.map((set) => {
        const matches = set.map((id) => this.matchOf(id)).sort((a, b) => b - a);
        return matches[Math.floor(set.length / 2)] ?? 0;
      }),
    );
    if (agreed <= this.commit || this.#log.termAt(agreed) !== this.#term) return;
    this.commit = agreed;
    this.emit("committed", agreed);
  }
}
