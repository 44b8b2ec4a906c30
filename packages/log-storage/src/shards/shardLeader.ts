import { EventEmitter } from "node:events";
import { create, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { EntrySchema, ShardCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Verdict } from "./streamLog.js";
import { LogPull } from "./logPull.js";
import type { CommitNotices, CommitSource, UntoldReplica } from "../replication/commitNotices.js";
import type { AppliedEntry, Replica } from "../replication/replica.js";

type CommandInit = NonNullable<MessageInitShape<typeof ShardCommandSchema>["command"]>;

interface ShardLeaderEvents {
  serving: [];
  over: [why: string];
  applied: [applied: AppliedEntry];
}

/**
 * A shard's leader for one epoch. It serves only after a majority has pledged its epoch and an entry of
 * that epoch is committed, so everything committed before is in its log.
 * Invariant: once over, it never serves again; the next claim makes another leader.
 */
export class ShardLeader extends EventEmitter<ShardLeaderEvents> implements CommitSource {
  static readonly silentMs = 700;
  /** Replicas that have heard everything are told so this often, and their answers show that they are there. */
  static readonly idleHeartbeatMs = 250;
  /** How long a question for a part of a better log may take. */
  static readonly pullMs = 1500;

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
  #isOver = false;
  readonly #heed = (applied: AppliedEntry): void => this.#applied(applied);
  readonly #outbid = (): void => this.stop("a higher epoch");

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

  get isServing(): boolean {
    return this.#isServing && !this.#isOver;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  get occupancy(): number {
    return this.#pending.size;
  }

  get set(): ShardSet {
    return this.#set;
  }

  get replicator(): LogReplicator | undefined {
    return this.#replicator;
  }

  /** Shard time now; it goes on from the last entry's and never runs faster than the monotonic clock. */
  get at(): number {
    return this.#timeBase + this.#node.parts.clock.now() - this.#startedAt;
  }

  /** False where no majority could be read. */
  async takeOver(): Promise<boolean> {
    const replica = this.#replica;
    const others = this.#set.members.filter((member) => member.id !== replica.id);
    if (this.epoch < replica.log.term) return false;
    const own = replica.log.promise(this.epoch, "");
    const asked = others.map(async (member) => {
      const body = await this.#node.rpc.call(
        member.name,
        { case: "prepare", value: { group: replica.log.group, epoch: this.epoch, receiver: member.id } },
        900,
      );
      return body?.case === "prepareReply" && body.value.isPromised ? { member, ...body.value } : undefined;
    });
    await own;
    const promise = await this.#enough(asked, Math.floor(this.#set.members.length / 2));
    if (promise === undefined || this.#isOver) return false;
    const best = promise.reduce(
      (a, b) => (b.lastTerm > a.lastTerm || (b.lastTerm === a.lastTerm && b.lastIndex > a.lastIndex) ? b : a),
      {
        member: undefined as unknown,
        lastTerm: replica.log.lastTerm,
        lastIndex: replica.log.lastIndex,
      } as (typeof promise)[number],
    );
    if (best.member !== undefined && !(await this.#pullFrom(best.member, best.lastIndex))) return false;
    if (this.#isOver || replica.log.term !== this.epoch) return false;
    this.#begin();
    return true;
  }

  /** Appends a command; settles with its verdict once committed, or undefined: it may yet be committed. */
  propose(command: CommandInit): Promise<Verdict | undefined> {
    if (this.#isOver) return Promise.resolve(undefined);
    const { log } = this.#replica;
    const data = toBinary(ShardCommandSchema, create(ShardCommandSchema, { command }));
    return this.#append(create(EntrySchema, { index: log.lastIndex + 1, term: this.epoch, kind: 0, data }));
  }

  tick(): void {
    if (this.#replicator === undefined) return;
    if (this.#replicator.sinceMajorityContactMs() > ShardLeader.silentMs)
      return this.stop("no majority of the replicas answers");
    this.#replicator.sendHeartbeats(ShardLeader.idleHeartbeatMs);
  }

  /** Whom entries must be synced on from now on: one set, or the old and the new one. */
  enlist(sets: ShardSet[], learners: string[]): void {
    this.#replicator?.setMembers(
      sets.map((set) => set.members.map((member) => member.id)),
      learners,
    );
  }

  /** A majority has answered something sent after the call. */
  confirm(): Promise<boolean> {
    return this.#replicator?.confirm() ?? Promise.resolve(false);
  }

  /** Which replicas have all that is committed and were not told so; they count as told from now on. */
  untold(): UntoldReplica[] {
    const commit = { shard: this.#replica.shard, term: this.epoch, index: this.#replicator?.commit ?? 0 };
    return (this.#replicator?.takeUnnotified() ?? []).map((id) => ({ id, name: this.#nameOf(id), commit }));
  }

  stop(why: string): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#replicator?.stop();
    if (this.#replica.replicator === this.#replicator) this.#replica.replicator = undefined;
    this.#replica.off("applied", this.#heed);
    this.#replica.off("deposed", this.#outbid);
    for (const settle of [...this.#pending.values()]) settle(undefined);
    this.#pending.clear();
    this.emit("over", why);
  }

  #begin(): void {
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
    replica.on("applied", this.#heed);
    replica.on("deposed", this.#outbid);
    replicator.on("committed", (index) => {
      replica.advance(index);
      this.#commits.add(this);
    });
    replicator.on("deposed", () => this.stop("a higher epoch"));
    replicator.setMembers([this.#set.members.map((member) => member.id)], []);
    void this.#append(create(EntrySchema, { index: replica.log.lastIndex + 1, term: this.epoch, kind: 1 })).then(() => {
      if (this.#isOver) return;
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
    const settled = new Promise<Verdict | undefined>((resolve) => this.#pending.set(entry.index, resolve));
    void this.#replica.log.append([entry]).then(() => this.#replicator?.sendNew());
    this.#replicator?.sendNew();
    return settled;
  }

  #applied(applied: AppliedEntry): void {
    const settle = this.#pending.get(applied.entry.index);
    this.#pending.delete(applied.entry.index);
    settle?.(applied.verdict);
    this.emit("applied", applied);
  }

  #pullFrom(member: ShardSet["members"][number], lastIndex: number): Promise<boolean> {
    const { log } = this.#replica;
    const pull = new LogPull(this.#replica, this.epoch, async (after, offset) => {
      if (this.#isOver) return undefined;
      const body = await this.#node.rpc.call(
        member.name,
        { case: "shardPull", value: { group: log.group, epoch: this.epoch, after, offset, receiver: member.id } },
        ShardLeader.pullMs,
      );
      return body?.case === "shardPullReply" && !this.#isOver ? body.value : undefined;
    });
    return pull.run(lastIndex);
  }

  #enough<T>(asked: Array<Promise<T | undefined>>, count: number): Promise<T[] | undefined> {
    const got: T[] = [];
    let left = asked.length;
    if (count === 0) return Promise.resolve(got);
    return new Promise((resolve) => {
      for (const one of asked) {
        void one.then((value) => {
          left -= 1;
          if (value !== undefined) got.push(value);
          if (got.length >= count) resolve(got);
          else if (got.length + left < count) resolve(undefined);
        });
      }
    });
  }
}
