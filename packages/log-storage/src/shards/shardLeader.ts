import { EventEmitter } from "node:events";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { EntrySchema, ShardCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { encodeMessage } from "@cranetrack/core/rpc/codec.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Verdict } from "./streamLog.js";
import { LogPull } from "./logPull.js";
import type { CommitNotices, CommitSource, UnnotifiedReplica } from "../replication/commitNotices.js";
import type { AppliedEntry, Replica } from "../replication/replica.js";

/** A command as it is proposed to the shard's log. */
type CommandInit = NonNullable<MessageInitShape<typeof ShardCommandSchema>["command"]>;

/** A proposal that waits for its commit. */
interface PendingProposal {
  readonly bytes: number;
  readonly resolve: (verdict: Verdict | undefined) => void;
}

/** `over` is emitted when the leader has stopped, with the reason that goes into the log line. */
interface ShardLeaderEvents {
  serving: [];
  over: [why: string];
  applied: [applied: AppliedEntry];
}

/**
 * A shard's leader for one epoch. It serves only after a majority has promised its epoch and an entry of that epoch is
 * committed, so its log has everything that was committed before.
 * Invariant: a stopped leader never serves again; the next claim creates another leader.
 */
export class ShardLeader extends EventEmitter<ShardLeaderEvents> implements CommitSource {
  /** The leader stops after this many milliseconds without contact to a majority. */
  static readonly majorityTimeoutMs = 700;
  /**
   * A replica that was silent for longer is not counted on for further publishes, whatever room it had. Longer than a
   * leader can stand still and stay one: what it has not read yet must not count as silence.
   */
  static readonly replicaContactMs = 3000;
  /** Interval in ms of the heartbeats to replicas that have everything; their replies show that they are alive. */
  static readonly idleHeartbeatMs = 250;
  /** Timeout in ms of a request for a part of a more complete log. */
  static readonly pullTimeoutMs = 1500;

  /** Revision of the leader key in the store, so each later leader of the shard has a higher one. */
  readonly epoch: number;
  readonly #replica: Replica;
  readonly #node: ClusterNode;
  readonly #commitNotices: CommitNotices;
  /** Proposals that wait for their commit, by log index. */
  readonly #pendingProposals = new Map<number, PendingProposal>();
  readonly #startedAt: number;
  /** Shard time in ms that corresponds to `#startedAt`. */
  #shardTimeBase = 0;
  #set: ShardSet;
  #replicator: LogReplicator | undefined;
  #pendingBytes = 0;
  #isServing = false;
  #isStopped = false;
  readonly #onReplicaApplied = (applied: AppliedEntry): void => this.#handleApplied(applied);
  readonly #onReplicaDeposed = (): void => this.stop("a higher epoch");

  constructor(replica: Replica, set: ShardSet, epoch: number, node: ClusterNode, commitNotices: CommitNotices) {
    super();
    this.setMaxListeners(0);
    this.#replica = replica;
    this.#set = set;
    this.epoch = epoch;
    this.#node = node;
    this.#commitNotices = commitNotices;
    this.#startedAt = node.parts.clock.now();
  }

  /** Whether a majority has promised the epoch, an entry of it is committed, and this leader has not stopped. */
  get isServing(): boolean {
    return this.#isServing && !this.#isStopped;
  }

  /** Once true, it stays true. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Number of entries proposed here that wait for their commit. */
  get pendingCount(): number {
    return this.#pendingProposals.size;
  }

  /** The size of these entries in bytes. */
  get pendingBytes(): number {
    return this.#pendingBytes;
  }

  /** Whether this node's disk, and the disks of a majority of every voter set, have room for further publishes. */
  get hasRoom(): boolean {
    const isMajorityFree = this.#replicator?.hasMajorityWithRoom(ShardLeader.replicaContactMs) ?? false;
    return !this.#replica.room.isShort && isMajorityFree;
  }

  /** The replica set in force when this leader was chosen. */
  get set(): ShardSet {
    return this.#set;
  }

  /** Replicates the shard's log; undefined until a majority has promised the epoch. */
  get replicator(): LogReplicator | undefined {
    return this.#replicator;
  }

  /** Shard time now, in ms. It continues from the last entry's and never runs faster than the monotonic clock. */
  get shardTime(): number {
    return this.#shardTimeBase + this.#node.parts.clock.now() - this.#startedAt;
  }

  /**
   * Collects promises from a majority, completes the log and starts to replicate it. False if no majority promised, the
   * log could not be completed, or the leader was stopped meanwhile.
   */
  async takeOver(): Promise<boolean> {
    const replica = this.#replica;
    const otherMembers = this.#set.members.filter((member) => member.id !== replica.id);
    if (this.epoch < replica.log.term) return false;
    const ownPromise = replica.log.saveTermAndVote(this.epoch, "");
    const requests = otherMembers.map(async (member) => {
      const body = await this.#node.rpc.call(
        member.name,
        { case: "prepare", value: { group: replica.log.group, epoch: this.epoch, receiver: member.id } },
        900,
      );
      return body?.case === "prepareReply" && body.value.isPromised ? { member, ...body.value } : undefined;
    });
    await ownPromise;
    const promises = await this.#firstReplies(requests, Math.floor(this.#set.members.length / 2));
    if (promises === undefined || this.#isStopped) return false;
    const mostComplete = promises.reduce(
      (best, candidate) =>
        candidate.lastTerm > best.lastTerm ||
        (candidate.lastTerm === best.lastTerm && candidate.lastIndex > best.lastIndex)
          ? candidate
          : best,
      {
        member: undefined as unknown,
        lastTerm: replica.log.lastTerm,
        lastIndex: replica.log.lastIndex,
      } as (typeof promises)[number],
    );
    if (mostComplete.member !== undefined && !(await this.#pullMissingLog(mostComplete.member, mostComplete.lastIndex)))
      return false;
    if (this.#isStopped || replica.log.term !== this.epoch) return false;
    this.#startReplicating();
    return true;
  }

  /**
   * Appends a command. Resolves once it is committed, with its verdict if it is an accept; or with undefined if the
   * leader stops before, and then the command may still be committed.
   */
  propose(command: CommandInit): Promise<Verdict | undefined> {
    if (this.#isStopped) return Promise.resolve(undefined);
    const { log } = this.#replica;
    const data = encodeMessage(ShardCommandSchema, { command });
    return this.#append(create(EntrySchema, { index: log.lastIndex + 1, term: this.epoch, kind: 0, data }));
  }

  /** Stops the leader if no majority answers any more; otherwise sends idle heartbeats. */
  tick(): void {
    if (this.#replicator === undefined) return;
    if (this.#replicator.sinceMajorityContactMs() > ShardLeader.majorityTimeoutMs)
      return this.stop("no majority of the replicas answers");
    this.#replicator.sendHeartbeats(ShardLeader.idleHeartbeatMs);
  }

  /**
   * Sets where entries must be synced from now on to be committed: on a majority of one set, or of both the old and the
   * new one. Learners receive entries and don't count.
   */
  setQuorums(sets: ShardSet[], learners: string[]): void {
    this.#replicator?.setMembers(
      sets.map((set) => set.members.map((member) => member.id)),
      learners,
    );
  }

  /**
   * Resolves with true once a majority has answered something sent after the call: no later leader had taken over when
   * the call was made.
   */
  confirmLeadership(): Promise<boolean> {
    return this.#replicator?.confirmLeadership() ?? Promise.resolve(false);
  }

  /**
   * Replicas that have every committed entry and were not notified of the commit; they count as notified from now on.
   */
  unnotified(): UnnotifiedReplica[] {
    const commit = { shard: this.#replica.shard, term: this.epoch, index: this.#replicator?.commit ?? 0 };
    return (this.#replicator?.takeUnnotified() ?? []).map((id) => ({ id, name: this.#nameOf(id), commit }));
  }

  /**
   * Stops this leader for good; idempotent. Pending proposals get no verdict, because they may still be committed.
   * `why` goes into the log line.
   */
  stop(why: string): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#replicator?.stop();
    if (this.#replica.replicator === this.#replicator) this.#replica.replicator = undefined;
    this.#replica.off("applied", this.#onReplicaApplied);
    this.#replica.off("deposed", this.#onReplicaDeposed);
    for (const { resolve } of [...this.#pendingProposals.values()]) resolve(undefined);
    this.#pendingProposals.clear();
    this.#pendingBytes = 0;
    this.emit("over", why);
  }

  #startReplicating(): void {
    const replica = this.#replica;
    this.#shardTimeBase = replica.state.shardTime;
    const replicator = new LogReplicator({
      log: replica.log,
      clock: this.#node.parts.clock,
      self: replica.id,
      term: this.epoch,
      commit: replica.applied,
      send: (id, body) => this.#node.rpc.send(this.#nameOf(id), body),
    });
    this.#replicator = replica.replicator = replicator;
    replica.on("applied", this.#onReplicaApplied);
    replica.on("deposed", this.#onReplicaDeposed);
    replicator.on("committed", (index) => {
      replica.advance(index);
      this.#commitNotices.add(this);
    });
    replicator.on("deposed", () => this.stop("a higher epoch"));
    replicator.setMembers([this.#set.members.map((member) => member.id)], []);
    void this.#append(create(EntrySchema, { index: replica.log.lastIndex + 1, term: this.epoch, kind: 1 })).then(() => {
      if (this.#isStopped) return;
      this.#shardTimeBase = replica.state.shardTime - (this.#node.parts.clock.now() - this.#startedAt);
      this.#isServing = true;
      this.emit("serving");
    });
    replicator.sendHeartbeats();
  }

  #nameOf(id: string): string {
    return (
      this.#set.members.find((member) => member.id === id)?.name ??
      this.#node.membership.all().find((member) => member.logDisk === id)?.name ??
      ""
    );
  }

  #append(entry: ReturnType<typeof create<typeof EntrySchema>>): Promise<Verdict | undefined> {
    const bytes = entry.data.length;
    this.#pendingBytes += bytes;
    const verdict = new Promise<Verdict | undefined>((resolve) =>
      this.#pendingProposals.set(entry.index, { bytes, resolve }),
    );
    void this.#replica.log.append([entry]).then(() => this.#replicator?.sendNewEntries());
    this.#replicator?.sendNewEntries();
    return verdict;
  }

  #handleApplied(applied: AppliedEntry): void {
    const proposal = this.#pendingProposals.get(applied.entry.index);
    this.#pendingProposals.delete(applied.entry.index);
    this.#pendingBytes -= proposal?.bytes ?? 0;
    proposal?.resolve(applied.verdict);
    this.emit("applied", applied);
  }

  #pullMissingLog(member: ShardSet["members"][number], lastIndex: number): Promise<boolean> {
    const { log } = this.#replica;
    const pull = new LogPull(this.#replica, this.epoch, async (after, offset) => {
      if (this.#isStopped) return undefined;
      const body = await this.#node.rpc.call(
        member.name,
        { case: "shardPull", value: { group: log.group, epoch: this.epoch, after, offset, receiver: member.id } },
        ShardLeader.pullTimeoutMs,
      );
      return body?.case === "shardPullReply" && !this.#isStopped ? body.value : undefined;
    });
    return pull.run(lastIndex);
  }

  #firstReplies<T>(requests: Array<Promise<T | undefined>>, count: number): Promise<T[] | undefined> {
    const replies: T[] = [];
    let outstanding = requests.length;
    if (count === 0) return Promise.resolve(replies);
    return new Promise((resolve) => {
      for (const request of requests) {
        void request.then((reply) => {
          outstanding -= 1;
          if (reply !== undefined) replies.push(reply);
          if (replies.length >= count) resolve(replies);
          else if (replies.length + outstanding < count) resolve(undefined);
        });
      }
    });
  }
}
