import { EventEmitter } from "node:events";
import type { AppendReply } from "../gen/cranetrack_pb.js";
import type { Clock } from "../runtime/clock.js";
import type { BodyInit } from "../rpc/wire.js";
import type { ReplicaLog } from "./replicaLog.js";
import { SnapshotSender, type SnapshotImage } from "./snapshotSender.js";

/** What the leader knows about one replica. Times are in milliseconds of the clock. */
interface ReplicaProgress {
  /** The index of the next entry to send. */
  nextIndex: number;
  /** The highest index known to be synced on the replica. */
  matchIndex: number;
  /** When the last append or snapshot piece was sent. */
  lastSentAt: number;
  /** The commit index that the replica was last sent. */
  lastSentCommit: number;
  /** Whether an append or a snapshot piece is unanswered. */
  isAwaitingReply: boolean;
  /** The match index that the reply to that append will confirm; 0 for a snapshot piece. */
  awaitedMatch: number;
  /** When the oldest unanswered heartbeat was sent, and its round. */
  heartbeatSentAt: number | undefined;
  heartbeatRound: number;
  /** The time that replies to heartbeats take: a maximum that decays with every faster reply. */
  replyMs: number;
  /** The highest round that the replica has answered. */
  answeredRound: number;
  lastReplyAt: number;
  /** The replica's disk lacks room for further publishes. */
  isShortOfRoom: boolean;
  /** The replica's disk has no room for the entries that were sent; it is sent none until it has. */
  isOutOfRoom: boolean;
  /** Set while the replica is sent a snapshot because the log no longer holds the entries that it lacks. */
  snapshotTransfer: SnapshotSender | undefined;
}

/**
 * The leader of a replicated log in one term: sends each replica the entries that it lacks and decides which are
 * committed (Raft, sections 5.3 and 5.4.2). Emits `committed` with the new commit index, and `deposed` with the higher
 * term that a reply contained.
 * Invariant: `commit` only rises, and covers an entry only when the entry is synced on a majority of every voter set
 * and so is an entry of this term at or after it.
 */
export class LogReplicator extends EventEmitter<{ committed: [index: number]; deposed: [term: number] }> {
  readonly #log: ReplicaLog;
  readonly #clock: Clock;
  readonly #self: string;
  readonly #term: number;
  readonly #send: (id: string, body: BodyInit) => void;
  readonly #peers = new Map<string, ReplicaProgress>();
  /** Calls of `confirmLeadership` that wait until a majority has answered their round. */
  readonly #pendingConfirmations: Array<{ round: number; resolve: (isConfirmed: boolean) => void }> = [];
  /** One voter set, or two during a change of members: then a majority of both is needed. */
  #voterSets: string[][] = [];
  /** Number of the newest round of heartbeats; replies contain the round that they answer. */
  #round = 0;
  #isStopped = false;
  commit: number;
  /** The newest snapshot that was sent to any replica. */
  #snapshotImage: SnapshotImage | undefined;

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

  /** Sets the voter sets, whose majorities commit, and the learners, which get the log but do not vote. */
  setMembers(voterSets: string[][], learners: readonly string[]): void {
    this.#voterSets = voterSets.map((set) => [...set]);
    const memberIds = new Set([...voterSets.flat(), ...learners]);
    memberIds.delete(this.#self);
    for (const id of this.#peers.keys()) if (!memberIds.has(id)) this.#peers.delete(id);
    for (const id of memberIds) {
      if (!this.#peers.has(id))
        this.#peers.set(id, {
          nextIndex: this.#log.lastIndex + 1,
          matchIndex: 0,
          lastSentAt: -Infinity,
          lastSentCommit: -1,
          isAwaitingReply: false,
          awaitedMatch: 0,
          heartbeatSentAt: undefined,
          heartbeatRound: 0,
          replyMs: 0,
          answeredRound: 0,
          lastReplyAt: this.#clock.now(),
          isShortOfRoom: false,
          isOutOfRoom: false,
          snapshotTransfer: undefined,
        });
    }
    this.#advanceCommit();
  }

  /** The highest index known to be synced on a replica; 0 if the replica is unknown. */
  matchOf(id: string): number {
    return id === this.#self ? this.#log.syncedIndex : (this.#peers.get(id)?.matchIndex ?? 0);
  }

  /** Milliseconds since a replica last replied; 0 for this node, Infinity for an unknown replica. */
  sinceContactMs(id: string): number {
    return id === this.#self ? 0 : this.#clock.now() - (this.#peers.get(id)?.lastReplyAt ?? -Infinity);
  }

  /** Milliseconds since this node last had contact with a majority of every voter set. */
  sinceMajorityContactMs(): number {
    return Math.max(
      ...this.#voterSets.map((set) => {
        const silencesMs = set.map((id) => this.sinceContactMs(id)).sort((a, b) => a - b);
        return silencesMs[Math.floor(set.length / 2)] ?? Infinity;
      }),
    );
  }

  /**
   * Whether a majority of every voter set has replied in the last `maxContactAgeMs` and has room for further publishes.
   * This node counts as one that has; its own disk is for the caller to check.
   */
  hasMajorityWithRoom(maxContactAgeMs: number): boolean {
    const hasRoom = (id: string): boolean =>
      id === this.#self || (this.#peers.get(id)?.isShortOfRoom === false && this.sinceContactMs(id) <= maxContactAgeMs);
    return this.#voterSets.every((set) => set.filter(hasRoom).length > set.length / 2);
  }

  /** Whether the disk of any replica has no room for the entries that it lacks. */
  get hasReplicaOutOfRoom(): boolean {
    return [...this.#peers.values()].some(({ isOutOfRoom }) => isOutOfRoom);
  }

  /**
   * How long a majority of every voter set takes to answer heartbeats, in milliseconds, counting the wait for an
   * overdue reply. Appends with entries don't count: replicas answer them after a sync, and a slow disk of a replica
   * says nothing about the leader.
   */
  get majorityReplyMs(): number {
    const now = this.#clock.now();
    const replyMsOf = (peer: ReplicaProgress): number => Math.max(peer.replyMs, now - (peer.heartbeatSentAt ?? now));
    const majorityMs = this.#voterSets.map((set) => {
      const peers = set.map((id) => this.#peers.get(id));
      const replyTimes = peers.map((peer) => (peer === undefined ? 0 : replyMsOf(peer)));
      return replyTimes.sort((a, b) => a - b)[Math.floor(set.length / 2)] ?? 0;
    });
    return Math.max(0, ...majorityMs);
  }

  /** To be called when this node has synced entries, or the log has new entries to send. */
  sendNewEntries(): void {
    this.#advanceCommit();
    for (const [id, peer] of this.#peers)
      if (!peer.isAwaitingReply && !peer.isOutOfRoom && peer.nextIndex <= this.#log.lastIndex) this.#sendTo(id, peer);
  }

  /**
   * Sends heartbeats to every replica. Lost entries are detected when the replica refuses the next append: the hint in
   * the refusal says where to resume. Late replies are harmless. A replica that has all entries and the current commit
   * index is sent nothing until `idleMs` milliseconds after the last message.
   */
  sendHeartbeats(idleMs = 0): void {
    for (const [id, peer] of this.#peers) {
      const isUpToDate =
        !peer.isAwaitingReply && peer.nextIndex > this.#log.lastIndex && peer.lastSentCommit === this.commit;
      if (isUpToDate && this.#clock.now() - peer.lastSentAt < idleMs) continue;
      this.#sendTo(id, peer);
    }
  }

  /** Sends a heartbeat to each replica that is still syncing entries; the reply to it does not wait for the disk. */
  sendHeartbeatsToSyncing(): void {
    this.#round += 1;
    for (const [id, peer] of this.#peers)
      if (peer.isAwaitingReply && peer.snapshotTransfer === undefined) this.#sendHeartbeat(id, peer);
  }

  /**
   * The replicas that were sent all committed entries but not the current commit index. The caller notifies them: they
   * count as notified from now on.
   */
  takeUnnotified(): string[] {
    if (this.#isStopped) return [];
    const unnotified = [...this.#peers].filter(
      ([, peer]) => peer.lastSentCommit < this.commit && peer.nextIndex > this.commit,
    );
    for (const [, peer] of unnotified) peer.lastSentCommit = this.commit;
    return unnotified.map(([id]) => id);
  }

  /**
   * Resolves to true once a majority has answered a message sent after this call, which proves that no other leader
   * had been elected at the time of the call; to false if this leader stops first.
   */
  confirmLeadership(): Promise<boolean> {
    if (this.#isStopped) return Promise.resolve(false);
    return new Promise((resolve) => {
      const isFirst =
        this.#pendingConfirmations.length === 0 || this.#pendingConfirmations.at(-1)!.round <= this.#round;
      this.#pendingConfirmations.push({ round: this.#round + 1, resolve });
      if (isFirst && this.#pendingConfirmations[0]!.round === this.#round + 1) this.#startRound();
      this.#resolveConfirmations();
    });
  }

  /**
   * Handles a reply from a replica; one with a higher term deposes this leader. Late or repeated replies and replies of
   * earlier terms are harmless.
   */
  handleReply(reply: AppendReply): void {
    const peer = this.#peers.get(reply.sender);
    if (peer === undefined || ![reply.term, reply.round, reply.match].every(Number.isSafeInteger)) return;
    if (reply.term > this.#term) {
      this.emit("deposed", reply.term);
      return;
    }
    if (reply.term !== this.#term || this.#isStopped) return;
    peer.lastReplyAt = this.#clock.now();
    this.#onRoundAnswered(peer, reply.round);
    if (!reply.isAccepted || reply.match >= peer.awaitedMatch) peer.isAwaitingReply = false;
    const previousNext = peer.nextIndex;
    const isPieceAcknowledged = LogReplicator.#applyReply(peer, reply);
    LogReplicator.#applyRoom(peer, reply);
    this.#advanceCommit();
    this.#resolveConfirmations();
    // After a refusal that changes nothing, the next heartbeat sends again: sending at once could loop forever.
    const hasMore = reply.isAccepted
      ? !peer.isOutOfRoom && peer.nextIndex <= this.#log.lastIndex
      : isPieceAcknowledged || peer.nextIndex !== previousNext;
    if (hasMore && !peer.isAwaitingReply) this.#sendTo(reply.sender, peer);
  }

  #onRoundAnswered(peer: ReplicaProgress, round: number): void {
    peer.answeredRound = Math.max(peer.answeredRound, round);
    if (peer.heartbeatSentAt === undefined || round < peer.heartbeatRound) return;
    peer.replyMs = Math.max(this.#clock.now() - peer.heartbeatSentAt, peer.replyMs * 0.9);
    peer.heartbeatSentAt = undefined;
  }

  /** Updates a replica's progress from its reply; true if the next piece of a snapshot may be sent at once. */
  static #applyReply(peer: ReplicaProgress, reply: AppendReply): boolean {
    if (reply.isAccepted) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.match);
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
      if (peer.snapshotTransfer !== undefined && peer.matchIndex >= peer.snapshotTransfer.image.index)
        peer.snapshotTransfer = undefined;
      return false;
    }
    if (peer.snapshotTransfer !== undefined)
      return peer.snapshotTransfer.acknowledge(reply.snapshotIndex, reply.received);
    if (reply.snapshotIndex === 0)
      peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex - 1, reply.match + 1));
    return false;
  }

  /** Records whether the replica has room. What it has left out is sent again once it has room. */
  static #applyRoom(peer: ReplicaProgress, { isAccepted, isShortOfRoom, isOutOfRoom }: AppendReply): void {
    peer.isShortOfRoom = isShortOfRoom;
    peer.isOutOfRoom = isOutOfRoom;
    if (!isOutOfRoom || !isAccepted) return;
    peer.nextIndex = peer.matchIndex + 1;
    peer.isAwaitingReply = false;
  }

  /** Stops sending and committing; pending calls of `confirmLeadership` resolve to false. */
  stop(): void {
    this.#isStopped = true;
    for (const { resolve } of this.#pendingConfirmations.splice(0)) resolve(false);
  }

  #startRound(): void {
    this.#round += 1;
    for (const [id, peer] of this.#peers) this.#sendHeartbeat(id, peer);
  }

  /**
   * Sends an empty append. For a replica that lacks entries it follows the last entry known to be synced there, so the
   * replica answers without waiting for its disk: linearizable reads and the detection of slow leaders then depend on
   * the network alone (Raft thesis, section 6.4).
   */
  #sendHeartbeat(id: string, peer: ReplicaProgress): void {
    if (!peer.isAwaitingReply && peer.nextIndex > this.#log.lastIndex) return this.#sendTo(id, peer);
    const prevTerm = peer.matchIndex < this.#log.baseIndex ? undefined : this.#log.termAt(peer.matchIndex);
    if (this.#isStopped || peer.snapshotTransfer !== undefined || prevTerm === undefined) return this.#sendTo(id, peer);
    this.#trackHeartbeat(peer);
    this.#send(id, {
      case: "append",
      value: { ...this.#appendHeader(id), prevIndex: peer.matchIndex, prevTerm, entries: [] },
    });
  }

  #trackHeartbeat(peer: ReplicaProgress): void {
    if (peer.heartbeatSentAt !== undefined) return;
    peer.heartbeatSentAt = this.#clock.now();
    peer.heartbeatRound = this.#round;
  }

  #appendHeader(id: string): {
    group: string;
    term: number;
    sender: string;
    receiver: string;
    commit: number;
    round: number;
  } {
    const { group } = this.#log;
    return { group, term: this.#term, sender: this.#self, receiver: id, commit: this.commit, round: this.#round };
  }

  #sendTo(id: string, peer: ReplicaProgress): void {
    if (this.#isStopped) return;
    const prevTerm = peer.nextIndex - 1 < this.#log.baseIndex ? undefined : this.#log.termAt(peer.nextIndex - 1);
    const body = prevTerm === undefined ? this.#createSnapshotPiece(id, peer) : this.#createAppend(id, peer, prevTerm);
    if (body === undefined) return;
    peer.lastSentAt = this.#clock.now();
    peer.lastSentCommit = this.commit;
    peer.isAwaitingReply = true;
    this.#send(id, body);
  }

  #createAppend(id: string, peer: ReplicaProgress, prevTerm: number): BodyInit {
    peer.snapshotTransfer = undefined;
    const entries = peer.isOutOfRoom ? [] : this.#log.entriesAfter(peer.nextIndex - 1);
    const append = { ...this.#appendHeader(id), prevIndex: peer.nextIndex - 1, prevTerm, entries };
    peer.nextIndex += entries.length;
    peer.awaitedMatch = peer.nextIndex - 1;
    if (entries.length === 0 && !peer.isAwaitingReply) this.#trackHeartbeat(peer);
    return { case: "append", value: append };
  }

  #createSnapshotPiece(id: string, peer: ReplicaProgress): BodyInit | undefined {
    peer.snapshotTransfer ??= new SnapshotSender(this.#newestImage());
    const piece = peer.snapshotTransfer.nextPiece(this.#clock.now());
    if (piece === undefined) return undefined;
    peer.awaitedMatch = 0;
    const { index, indexTerm, state, checksum } = peer.snapshotTransfer.image;
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
    if (this.#snapshotImage?.index !== this.#log.snapshotIndex) this.#snapshotImage = SnapshotSender.imageOf(this.#log);
    return this.#snapshotImage!;
  }

  #resolveConfirmations(): void {
    const confirmedRound = Math.min(
      ...this.#voterSets.map((set) => {
        const rounds = set
          .map((id) => (id === this.#self ? this.#round : (this.#peers.get(id)?.answeredRound ?? 0)))
          .sort((a, b) => b - a);
        return rounds[Math.floor(set.length / 2)] ?? 0;
      }),
    );
    while (this.#pendingConfirmations.length > 0 && this.#pendingConfirmations[0]!.round <= confirmedRound)
      this.#pendingConfirmations.shift()!.resolve(true);
    if (this.#pendingConfirmations.length > 0 && confirmedRound >= this.#round) this.#startRound();
  }

  #advanceCommit(): void {
    if (this.#voterSets.length === 0 || this.#isStopped) return;
    const majorityIndex = Math.min(
      ...this.#voterSets.map((set) => {
        const matches = set.map((id) => this.matchOf(id)).sort((a, b) => b - a);
        return matches[Math.floor(set.length / 2)] ?? 0;
      }),
    );
    if (majorityIndex <= this.commit || this.#log.termAt(majorityIndex) !== this.#term) return;
    this.commit = majorityIndex;
    this.emit("committed", majorityIndex);
  }
}
