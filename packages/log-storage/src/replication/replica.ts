import { EventEmitter } from "node:events";
import { crc32 } from "node:zlib";
import type { Entry, Prepare, ShardPull } from "@cranetrack/core/gen/cranetrack_pb.js";
import { FollowerLog } from "@cranetrack/core/replication/followerLog.js";
import { LogCompaction, type CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import { logGroupNames } from "@cranetrack/core/replication/logGroups.js";
import { ReplicaLog, type KeptTail } from "@cranetrack/core/replication/replicaLog.js";
import { SnapshotSender } from "@cranetrack/core/replication/snapshotSender.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import { DiskRoom } from "@cranetrack/core/storage/diskRoom.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { ShardState } from "../shards/shardState.js";
import type { Verdict } from "../shards/streamLog.js";

/** The parts of its node that a replica uses. */
export type ReplicaNode = Pick<ClusterNode, "groups" | "rpc"> & {
  readonly invariants?: Pick<InvariantMonitor, "violated">;
  readonly parts: { readonly clock: Clock };
};

/** An entry of the committed log, and the state's verdict on it; undefined unless the entry is an accept command. */
export interface AppliedEntry {
  entry: Entry;
  verdict: Verdict | undefined;
}

/**
 * One shard's log on this disk, and the state that results from its committed part.
 * Invariants: the state reflects exactly the entries up to `applied`; an epoch lower than the promised one is refused;
 * a replica is identified by its disk, so a wiped disk is another replica.
 */
export class Replica extends EventEmitter<{
  applied: [applied: AppliedEntry];
  deposed: [epoch: number];
  appended: [];
  installed: [];
}> {
  /** A machine holds replicas of many shards, so each replica keeps little. */
  static readonly compaction: CompactionBounds = {
    entries: 3000,
    bytes: 4 * 1024 * 1024,
    kept: { entries: 500, bytes: 1024 * 1024 },
  };

  /** The tail of entries that stays when a log is compacted to free room. */
  static readonly keptWhenReclaiming: KeptTail = { entries: 100, bytes: 64 * 1024 };

  /** Limit of the entries in one reply to a pull, in bytes: well below what may be queued on a connection. */
  static readonly maxPullReplyBytes = 4 * 1024 * 1024;

  readonly shard: number;
  /** Identity of the disk. */
  readonly id: string;
  readonly log: ReplicaLog;
  /** What the disk still has room for. */
  readonly room: DiskRoom;
  readonly state = new ShardState();
  readonly #followerLog: FollowerLog;
  readonly #compaction: LogCompaction;
  readonly #node: ReplicaNode;
  /** Index of the last applied entry. */
  applied = 0;
  /**
   * The last message from a leader: its epoch, the clock time in ms when it came, and the commit index that it stated.
   */
  #lastLeaderContact = { term: 0, at: -Infinity, commit: 0 };
  /** Clock time in ms since which an entry is known to be committed and not applied here; 0 while there is none. */
  #laggingSince = 0;
  /** The snapshot that was last pulled from here, and its checksum. */
  #pulledSnapshot: { snapshot: Uint8Array; checksum: number } | undefined;
  /** Replicates this log to the other replicas; set only while this replica is the leader's. */
  replicator: LogReplicator | undefined;

  constructor(shard: number, id: string, disk: Disk, node: ReplicaNode) {
    super();
    this.setMaxListeners(0);
    this.shard = shard;
    this.id = id;
    this.#node = node;
    this.log = new ReplicaLog(disk, logGroupNames.shard(shard));
    this.#compaction = new LogCompaction(this.log, Replica.compaction);
    this.room = new DiskRoom(disk);
    this.#followerLog = new FollowerLog({
      log: this.log,
      self: id,
      onCommit: (index) => this.advance(index),
      onSnapshot: (index, state) => this.#installState(index, state),
      isReadable: (state) => ShardState.isReadable(state),
      onDivergence: (divergedAt) =>
        node.invariants?.violated("committedLog", { group: this.log.group, index: divergedAt }),
      room: this.room,
    });
    if (this.log.snapshotIndex > 0) this.#installState(this.log.snapshotIndex, this.log.snapshot);
    node.groups.register(this.log.group, {
      append: (append, from) =>
        append.receiver === this.id
          ? this.#handleLeaderMessage(append.term, append.commit, from, () =>
              this.#followerLog.handleAppend(append, this.applied),
            )
          : undefined,
      snapshot: (snapshot, from) =>
        snapshot.receiver === this.id
          ? this.#handleLeaderMessage(snapshot.term, snapshot.index, from, () =>
              this.#followerLog.handleSnapshotPiece(snapshot, this.applied),
            )
          : undefined,
      onReply: (reply) => {
        if (reply.receiver === this.id) this.replicator?.handleReply(reply);
      },
    });
  }

  /** Applies entries up to the committed index, as far as the log has them. */
  advance(index: number): void {
    const end = Math.min(index, this.log.lastIndex);
    while (this.applied < end) {
      const entry = this.log.entryAt(this.applied + 1)!;
      this.applied += 1;
      this.#compaction.recordApplied(entry);
      const verdict = entry.kind === 0 ? this.state.apply(entry.data) : undefined;
      this.emit("applied", { entry, verdict });
    }
    if (this.#compaction.shouldCompact) void this.#compact();
  }

  /** How many bytes a snapshot of the present state would free on the disk; 0 if there is nothing to replace. */
  get reclaimableBytes(): number {
    if (this.applied <= this.log.snapshotIndex) return 0;
    const unappliedBytes = this.log
      .entriesAfter(this.applied, Infinity)
      .reduce((sum, { data }) => sum + data.length, 0);
    return Math.max(0, this.log.storedBytes - unappliedBytes - this.state.payloadBytes);
  }

  /** Replaces the applied entries by a snapshot, to free room on the disk; resolves once that is synced. */
  reclaim(): Promise<void> {
    return this.#compact(Replica.keptWhenReclaiming);
  }

  /** Handles the notice of an epoch's leader that the log is committed up to `index`. */
  onCommitNotice(epoch: number, index: number): void {
    if (epoch !== this.log.term || !Number.isSafeInteger(index)) return;
    this.#followerLog.onHeartbeatReply(epoch, index);
    this.#recordLeaderContact(epoch, index);
  }

  /** Milliseconds since the last message from an epoch's leader; infinite if there was none. */
  sinceLeaderContactMs(epoch: number): number {
    return this.#lastLeaderContact.term === epoch
      ? this.#node.parts.clock.now() - this.#lastLeaderContact.at
      : Infinity;
  }

  /** Milliseconds for which an entry that is known to be committed has not been applied; 0 while there is none. */
  get lagMs(): number {
    return this.#laggingSince === 0 ? 0 : this.#node.parts.clock.now() - this.#laggingSince;
  }

  /**
   * Handles the Prepare of an epoch's leader, as in Paxos: promises to refuse all lower epochs. The promise is synced
   * before the reply.
   */
  async prepare(prepare: Prepare): Promise<BodyInit> {
    if (prepare.epoch < this.log.term || !Number.isSafeInteger(prepare.epoch))
      return { case: "prepareReply", value: { isPromised: false, epoch: this.log.term } };
    this.#reportHigherEpoch(prepare.epoch);
    if (prepare.epoch > this.log.term) await this.log.saveTermAndVote(prepare.epoch, "");
    else await this.log.append([]);
    return {
      case: "prepareReply",
      value: {
        isPromised: prepare.epoch === this.log.term,
        epoch: this.log.term,
        lastIndex: this.log.lastIndex,
        lastTerm: this.log.lastTerm,
      },
    };
  }

  /**
   * Answers a new leader whose log is less complete than this one with what it lacks: a piece of the snapshot, or
   * entries. Undefined if the pull is for another epoch or its offset is invalid.
   */
  pull(pull: ShardPull): BodyInit | undefined {
    if (pull.epoch !== this.log.term || !Number.isSafeInteger(pull.offset) || pull.offset < 0) return undefined;
    const { baseIndex, snapshotIndex, snapshotTerm, snapshot } = this.log;
    const isWhole = pull.after < baseIndex || this.log.termAt(pull.after) === undefined;
    if (!isWhole)
      return {
        case: "shardPullReply",
        value: { isWhole, entries: this.log.entriesAfter(pull.after, Replica.maxPullReplyBytes) },
      };
    if (this.#pulledSnapshot?.snapshot !== snapshot) this.#pulledSnapshot = { snapshot, checksum: crc32(snapshot) };
    return {
      case: "shardPullReply",
      value: {
        isWhole,
        baseIndex: snapshotIndex,
        baseTerm: snapshotTerm,
        snapshot: snapshot.subarray(pull.offset, pull.offset + SnapshotSender.pieceBytes),
        size: snapshot.length,
        checksum: this.#pulledSnapshot.checksum,
      },
    };
  }

  /** Replaces what this log has after its applied part by the entries of a more complete log. */
  async replaceWithPulled(entries: readonly Entry[]): Promise<void> {
    if (entries[0] !== undefined) await this.log.reconcile(entries[0].index - 1, entries);
  }

  /**
   * Whether this log has everything that the snapshot of a more complete log covers. If so, it is applied up to there,
   * and entries that both logs have stay in place: this replica has acknowledged them.
   */
  hasSnapshot(index: number, term: number): boolean {
    if (index > this.applied && this.log.termAt(index) === term) this.advance(index);
    return index <= this.applied;
  }

  /**
   * Installs the snapshot of a more complete log in place of a log that conflicts with it or ends before it; false if
   * the snapshot is unreadable.
   */
  async installPulled(index: number, term: number, snapshot: Uint8Array): Promise<boolean> {
    if (!ShardState.isReadable(snapshot)) return false;
    const installed = this.log.installSnapshot(index, term, snapshot);
    this.#installState(index, snapshot);
    await installed;
    return true;
  }

  #compact(kept?: KeptTail): Promise<void> {
    const snapshot = this.state.snapshot();
    this.state.sharePayloads(snapshot);
    return this.#compaction.compact(this.applied, snapshot, kept);
  }

  #installState(index: number, state: Uint8Array): void {
    this.state.install(state);
    this.applied = index;
    this.emit("installed");
  }

  #recordLeaderContact(term: number, commit: number): void {
    const at = this.#node.parts.clock.now();
    this.#lastLeaderContact = { term, at, commit };
    if (this.applied >= commit) this.#laggingSince = 0;
    else if (this.#laggingSince === 0) this.#laggingSince = at;
  }

  #reportHigherEpoch(term: number): void {
    if (this.replicator !== undefined && term > this.log.term) this.emit("deposed", term);
  }

  async #handleLeaderMessage(
    term: number,
    commit: number,
    from: string,
    handle: () => Promise<BodyInit>,
  ): Promise<undefined> {
    this.#reportHigherEpoch(term);
    const handled = handle();
    if (term === this.log.term) this.#recordLeaderContact(term, commit);
    const reply = await handled;
    this.emit("appended");
    this.#node.rpc.send(from, reply);
    return undefined;
  }
}
