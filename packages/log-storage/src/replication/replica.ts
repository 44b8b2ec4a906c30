import { EventEmitter } from "node:events";
import { crc32 } from "node:zlib";
import type { Entry, Prepare, ShardPull } from "@cranetrack/core/gen/cranetrack_pb.js";
import { FollowerLog } from "@cranetrack/core/replication/followerLog.js";
import { LogCompaction, type CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import { logGroupNames } from "@cranetrack/core/replication/logGroups.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { SnapshotSender } from "@cranetrack/core/replication/snapshotSender.js";
import type { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { ShardState } from "../shards/shardState.js";
import type { Verdict } from "../shards/streamLog.js";

/** What a replica needs of its node. */
export type ReplicaNode = Pick<ClusterNode, "groups" | "rpc"> & {
  readonly invariants?: Pick<InvariantMonitor, "violated">;
  readonly parts: { readonly clock: Clock };
};

export interface AppliedEntry {
  entry: Entry;
  verdict: Verdict | undefined;
}

/**
 * One shard's log on this disk and the state folded from its committed part.
 * Invariants: state holds exactly the entries up to `applied`; an epoch lower than the promised one is
 * refused; the disk's identity is the replica's, so a wiped disk is another replica.
 */
export class Replica extends EventEmitter<{
  applied: [applied: AppliedEntry];
  deposed: [epoch: number];
  appended: [];
  installed: [];
}> {
  /** A machine holds replicas of many shards, so each keeps little. */
  static readonly compaction: CompactionBounds = {
    entries: 3000,
    bytes: 4 * 1024 * 1024,
    kept: { entries: 500, bytes: 1024 * 1024 },
  };

  /** Entries in one reply to a pull: well below what may wait on a connection. */
  static readonly maxPullReplyBytes = 4 * 1024 * 1024;

  readonly shard: number;
  readonly id: string;
  readonly log: ReplicaLog;
  readonly state = new ShardState();
  readonly #followerLog: FollowerLog;
  readonly #compaction: LogCompaction;
  readonly #node: ReplicaNode;
  applied = 0;
  /** When a leader was last heard, of which epoch, and how far it said the log is committed. */
  #lastLeaderContact = { term: 0, at: -Infinity, commit: 0 };
  /** Since when something is committed that is not applied here; 0 while all is. */
  #laggingSince = 0;
  /** The snapshot that was last asked for in pieces. */
  #pulledSnapshot: { snapshot: Uint8Array; checksum: number } | undefined;
  /** Set while this replica spreads its own log. */
  replicator: LogReplicator | undefined;

  constructor(shard: number, id: string, disk: Disk, node: ReplicaNode) {
    super();
    this.setMaxListeners(0);
    this.shard = shard;
    this.id = id;
    this.#node = node;
    this.log = new ReplicaLog(disk, logGroupNames.shard(shard));
    this.#compaction = new LogCompaction(this.log, Replica.compaction);
    this.#followerLog = new FollowerLog(
      this.log,
      id,
      (index) => this.advance(index),
      (index, state) => this.#install(index, state),
      (state) => ShardState.isReadable(state),
      (at) => node.invariants?.violated("committedLog", { group: this.log.group, index: at }),
    );
    if (this.log.snapshotIndex > 0) this.#install(this.log.snapshotIndex, this.log.snapshot);
    node.groups.enlist(this.log.group, {
      append: (append, from) =>
        append.receiver === this.id
          ? this.#handleLeaderMessage(append.term, append.commit, from, () =>
              this.#followerLog.take(append, this.applied),
            )
          : undefined,
      snapshot: (snapshot, from) =>
        snapshot.receiver === this.id
          ? this.#handleLeaderMessage(snapshot.term, snapshot.index, from, () =>
              this.#followerLog.takeSnapshot(snapshot, this.applied),
            )
          : undefined,
      onReply: (reply) => {
        if (reply.receiver === this.id) this.replicator?.handleReply(reply);
      },
    });
  }

  /** Applies the log as far as it is committed. */
  advance(index: number): void {
    const end = Math.min(index, this.log.lastIndex);
    while (this.applied < end) {
      const entry = this.log.at(this.applied + 1)!;
      this.applied += 1;
      this.#compaction.applied(entry);
      const verdict = entry.kind === 0 ? this.state.apply(entry.data) : undefined;
      this.emit("applied", { entry, verdict });
    }
    if (this.#compaction.shouldCompact) void this.#compaction.compact(this.applied, this.state.snapshot());
  }

  /** The leader of an epoch says how far the log is committed. */
  onCommitNotice(epoch: number, index: number): void {
    if (epoch !== this.log.term || !Number.isSafeInteger(index)) return;
    this.#followerLog.onHeartbeatReply(epoch, index);
    this.#recordLeaderContact(epoch, index);
  }

  /** Milliseconds since the leader of an epoch was last heard. */
  leaderSilenceMs(epoch: number): number {
    return this.#lastLeaderContact.term === epoch
      ? this.#node.parts.clock.now() - this.#lastLeaderContact.at
      : Infinity;
  }

  /** For how long something that is known to be committed has not been applied. */
  get lagMs(): number {
    return this.#laggingSince === 0 ? 0 : this.#node.parts.clock.now() - this.#laggingSince;
  }

  /** A claimant asks for the promise to refuse all lower epochs. */
  async prepare(prepare: Prepare): Promise<BodyInit> {
    if (prepare.epoch < this.log.term || !Number.isSafeInteger(prepare.epoch))
      return { case: "prepareReply", value: { isPromised: false, epoch: this.log.term } };
    this.#reportHigherEpoch(prepare.epoch);
    if (prepare.epoch > this.log.term) await this.log.promise(prepare.epoch, "");
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

  /** A new leader with a shorter log asks for what it lacks: a piece of the snapshot, or entries. */
  pull(pull: ShardPull): BodyInit | undefined {
    if (pull.epoch !== this.log.term || !Number.isSafeInteger(pull.offset) || pull.offset < 0) return undefined;
    const { baseIndex, snapshotIndex, snapshotTerm, snapshot } = this.log;
    const isWhole = pull.after < baseIndex || this.log.termAt(pull.after) === undefined;
    if (!isWhole)
      return {
        case: "shardPullReply",
        value: { isWhole, entries: this.log.after(pull.after, Replica.maxPullReplyBytes) },
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

  /** Takes a better log's entries in place of what this one has after its applied part. */
  async replaceWithPulled(entries: readonly Entry[]): Promise<void> {
    if (entries[0] !== undefined) await this.log.agree(entries[0].index - 1, entries);
  }

  /**
   * Whether the log has all that a better log's snapshot stands for. Entries that both have stay where they are: this
   * replica has answered for them.
   */
  hasSnapshot(index: number, term: number): boolean {
    if (index > this.applied && this.log.termAt(index) === term) this.advance(index);
    return index <= this.applied;
  }

  /** Takes a better log's snapshot in place of a log that conflicts with it, or ends before it; false if unreadable. */
  async installPulled(index: number, term: number, snapshot: Uint8Array): Promise<boolean> {
    if (!ShardState.isReadable(snapshot)) return false;
    const installed = this.log.install(index, term, snapshot);
    this.#install(index, snapshot);
    await installed;
    return true;
  }

  #install(index: number, state: Uint8Array): void {
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
