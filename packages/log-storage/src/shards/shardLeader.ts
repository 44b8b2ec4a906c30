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

type CommandInit = NonNullable<MessageInitShape<typeof ShardCommandSchema>["command"]>;

interface ShardLeaderEvents {
  serving: [];
  over: [why: string];
  applied: [applied: AppliedEntry];
}

/**
 * A shard's leader for one epoch. It serves only after a majority has promised its epoch and an entry of
 * that epoch is committed, so everything committed before is in its log.
 * Invariant: once over, it never serves again; the next claim makes another leader.
 */
export class ShardLeader extends EventEmitter<ShardLeaderEvents> implements CommitSource {
  static readonly majorityTimeoutMs = 700;
  /** How often replicas that have everything are sent a heartbeat; their replies show that they are alive. */
  static readonly idleHeartbeatMs = 250;
  /** How long a question for a part of a better log may take. */
  static readonly pullTimeoutMs = 1500;

  readonly epoch: number;
  readonly #replica: Replica;
  readonly #node: ClusterNode;
  readonly #commits: CommitNotices;
  readonly #pending = new Map<number, (verdict: Verdict | undefined) => void>();
  readonly #startedAt: number;
  #timeBase = 0;
  #set: ShardSet;
  #replicator: LogReplicator | undefined;
  #isServing = false;
  #isStopped = false;
  readonly #onReplicaApplied = (applied: AppliedEntry): void => this.#handleApplied(applied);
  readonly #onReplicaDeposed = (): void => this.stop("a higher epoch");

  constructor(replica: Replica, set: ShardSet, epoch: number, node: ClusterNode, commits: CommitNotices) {
    super();
    this.setMaxListeners(0);
    this.#replica = replica;
    this.#set = set;
    this.epoch = epoch;
    this.#node = node;
    this.#commits = commits;
    this.#startedAt = node.parts.clock.now();
  }

  /** Whether the epoch is promised by a majority, an entry of it committed, and this leader not stopped. */
  get isServing(): boolean {
    return this.#isServing && !this.#isStopped;
  }

  /** Once true, it stays so. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Entries proposed here that wait for their commit. */
  get pendingCount(): number {
    return this.#pending.size;
  }

  /** The replica set that this leader was chosen under. */
  get set(): ShardSet {
    return this.#set;
  }

  /** Undefined until a majority has promised the epoch. */
  get replicator(): LogReplicator | undefined {
    return this.#replicator;
  }

  /** Shard time now; it goes on from the last entry's and never runs faster than the monotonic clock. */
  get shardTime(): number {
    return this.#timeBase + this.#node.parts.clock.now() - this.#startedAt;
  }

  /** False where no majority could be read. */
  async takeOver(): Promise<boolean> {
    const replica = this.#replica;
    const others = this.#set.members.filter((member) => member.id !== replica.id);
    if (this.epoch < replica.log.term) return false;
    const own = replica.log.promise(this.epoch, "");
    const requests = others.map(async (member) => {
      const body = await this.#node.rpc.call(
        member.name,
        { case: "prepare", value: { group: replica.log.group, epoch: this.epoch, receiver: member.id } },
        900,
      );
      return body?.case === "prepareReply" && body.value.isPromised ? { member, ...body.value } : undefined;
    });
    await own;
    const promise = await this.#firstReplies(requests, Math.floor(this.#set.members.length / 2));
    if (promise === undefined || this.#isStopped) return false;
    const longest = promise.reduce(
      (a, b) => (b.lastTerm > a.lastTerm || (b.lastTerm === a.lastTerm && b.lastIndex > a.lastIndex) ? b : a),
      {
        member: undefined as unknown,
        lastTerm: replica.log.lastTerm,
        lastIndex: replica.log.lastIndex,
      } as (typeof promise)[number],
    );
    if (longest.member !== undefined && !(await this.#pullMissingLog(longest.member, longest.lastIndex))) return false;
    if (this.#isStopped || replica.log.term !== this.epoch) return false;
    this.#startReplicating();
    return true;
  }

  /** Appends a command; resolves with its verdict once committed, or undefined: it may yet be committed. */
  propose(command: CommandInit): Promise<Verdict | undefined> {
    if (this.#isStopped) return Promise.resolve(undefined);
    const { log } = this.#replica;
    const data = encodeMessage(ShardCommandSchema, { command });
    return this.#append(create(EntrySchema, { index: log.lastIndex + 1, term: this.epoch, kind: 0, data }));
  }

  /** Stops where no majority answers any more; sends idle heartbeats. */
  tick(): void {
    if (this.#replicator === undefined) return;
    if (this.#replicator.sinceMajorityContactMs() > ShardLeader.majorityTimeoutMs)
      return this.stop("no majority of the replicas answers");
    this.#replicator.sendHeartbeats(ShardLeader.idleHeartbeatMs);
  }

  /** Whom entries must be synced on from now on: one set, or the old and the new one. */
  setQuorums(sets: ShardSet[], learners: string[]): void {
    this.#replicator?.setMembers(
      sets.map((set) => set.members.map((member) => member.id)),
      learners,
    );
  }

  /** A majority has answered something sent after the call. */
  confirm(): Promise<boolean> {
    return this.#replicator?.confirm() ?? Promise.resolve(false);
  }

  /** Which replicas have all that is committed and were not notified of it; they count as notified from now on. */
  unnotified(): UnnotifiedReplica[] {
    const commit = { shard: this.#replica.shard, term: this.epoch, index: this.#replicator?.commit ?? 0 };
    return (this.#replicator?.takeUnnotified() ?? []).map((id) => ({ id, name: this.#nameOf(id), commit }));
  }

  /** Proposals that wait get no verdict: they may yet be committed. Idempotent; `why` goes into the log line. */
  stop(why: string): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#replicator?.stop();
    if (this.#replica.replicator === this.#replicator) this.#replica.replicator = undefined;
    this.#replica.off("applied", this.#onReplicaApplied);
    this.#replica.off("deposed", this.#onReplicaDeposed);
    for (const resolve of [...this.#pending.values()]) resolve(undefined);
    this.#pending.clear();
    this.emit("over", why);
  }

  #startReplicating(): void {
    const replica = this.#replica;
    this.#timeBase = replica.state.at;
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
      this.#commits.add(this);
    });
    replicator.on("deposed", () => this.stop("a higher epoch"));
    replicator.setMembers([this.#set.members.map((member) => member.id)], []);
    void this.#append(create(EntrySchema, { index: replica.log.lastIndex + 1, term: this.epoch, kind: 1 })).then(() => {
      if (this.#isStopped) return;
      this.#timeBase = replica.state.at - (this.#node.parts.clock.now() - this.#startedAt);
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
    const verdict = new Promise<Verdict | undefined>((resolve) => this.#pending.set(entry.index, resolve));
    void this.#replica.log.append([entry]).then(() => this.#replicator?.sendNew());
    this.#replicator?.sendNew();
    return verdict;
  }

  #handleApplied(applied: AppliedEntry): void {
    const resolve = this.#pending.get(applied.entry.index);
    this.#pending.delete(applied.entry.index);
    resolve?.(applied.verdict);
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
      for (const one of requests) {
        void one.then((value) => {
          outstanding -= 1;
          if (value !== undefined) replies.push(value);
          if (replies.length >= count) resolve(replies);
          else if (replies.length + outstanding < count) resolve(undefined);
        });
      }
    });
  }
}
