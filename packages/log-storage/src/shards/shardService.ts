import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  AcceptSchema,
  StreamHeadSchema,
  TopicCountSchema,
  TopicStartSchema,
  type Accept,
  type CountRequest,
  type Fetch,
  type Follow,
  type Publish,
  type StartRequest,
  type TrimStreamSchema,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import {
  Configurations,
  type TopicContract,
  type Configuration,
} from "@cranetrack/core/configuration/configuration.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { AwaitedRetries } from "./heldBack.js";
import { PublishOutcomes, type PublishOutcome } from "./publishOutcomes.js";
import { startInMemory, startInLog } from "./startOf.js";
import { StreamLog, type Verdict } from "./streamLog.js";
import { fetchFrom } from "../follows/fetchFrom.js";
import { StreamFollowers } from "../follows/follows.js";
import type { ShardLeader } from "./shardLeader.js";
import { MemoryStreams } from "./memoryStreams.js";
import type { PushBatcher } from "../follows/pushTurn.js";
import type { Replica } from "../replication/replica.js";
import { StreamStatuses } from "./streamStandings.js";

/**
 * What a shard's leader does for edges: judges publishes against the configuration, incarnations streams, answers
 * starts, follows and fetches, and trims.
 */
export class ShardService {
  static readonly minRetentionMs = 45_000;
  /** Numbers sent before are known for this long after their session's last one in the topic. */
  static readonly forgetMs = 600_000;
  static readonly maxPending = 2000;
  /** A new leader counts no subscribers until the edges have had this long to tell it of theirs. */
  static readonly countMs = 700;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  readonly #followers: StreamFollowers;
  readonly #statuses: StreamStatuses;
  readonly #isLeaseHeld: () => boolean;
  readonly #incarnations = new Map<string, Promise<void>>();
  readonly #memory: MemoryStreams;
  readonly #awaitedRetries = new AwaitedRetries();
  readonly #pushBatcher: PushBatcher;
  /** Streams with messages committed and not yet pushed; and whoever waits for the push. */
  readonly #unpushed = new Set<string>();
  #pushed: Promise<boolean> | undefined;
  #trimmedAt = 0;
  #expiredAt = 0;
  #servesSince = Infinity;
  #isTrimming = false;

  constructor(
    node: ClusterNode,
    replica: Replica,
    leader: ShardLeader,
    pushBatcher: PushBatcher,
    isLeaseHeld: () => boolean,
  ) {
    this.#pushBatcher = pushBatcher;
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#isLeaseHeld = isLeaseHeld;
    this.#statuses = new StreamStatuses(node);
    this.#memory = new MemoryStreams(() => node.parts.random.identity());
    this.#followers = new StreamFollowers({
      node,
      shard: replica.shard,
      epoch: leader.epoch,
      pushBatcher,
      find: (stream) => this.#find(stream),
      isInMemory: (stream) => this.#statuses.isInMemory(stream),
    });
    leader.on("applied", ({ verdict }) => {
      if (verdict?.kind === "accepted" && verdict.isFresh) void this.#push(verdict.stream);
    });
    leader.on("serving", () => (this.#servesSince = node.parts.clock.now()));
  }

  /** Whether claims, configuration and epoch may be acted on now. */
  get isOpen(): boolean {
    return this.#leader.isServing && this.#isLeaseHeld() && this.#node.feed.isFresh;
  }

  /** Numbers of one sender in one topic keep the order in which they come, whatever each waits for. */
  async publish(publish: Publish): Promise<PublishOutcome> {
    const { topic, session, number } = publish;
    const now = this.#node.parts.clock.now();
    if (this.#awaitedRetries.isBehindAwaitedRetry(topic, session, number, now))
      return this.#unavailable("an earlier number is to be sent again", 0.2);
    const reply = await this.#judge(publish);
    const isUnavailable = reply.value.outcome === "away" || reply.value.outcome === "busy";
    this.#awaitedRetries.recordOutcome(topic, session, number, isUnavailable, now);
    return reply;
  }

  async #judge(publish: Publish): Promise<PublishOutcome> {
    if (!this.isOpen) return this.#unavailable();
    const { topic, session, number, spaceIncarnation } = publish;
    const { configuration } = this.#node.configuration;
    const route = this.#node.configuration.route(topic);
    const status = this.#statuses.ofIncarnation(route?.spaceIncarnation, spaceIncarnation);
    // One of the two has not heard of the newest configuration yet; a space that this node has seen removed may be
    // back.
    if (route === undefined || status !== "ours") return this.#unavailable("the topic's space is changing", 0.2);
    const contract = Configurations.contractFor(configuration, topic);
    if (contract === undefined)
      return PublishOutcomes.refused("unknown-topic", `the plan in force has no rule for ${topic}`);
    const { stream } = route;
    if (!this.#isOurs(stream) || !Number.isSafeInteger(number) || number < 1)
      return PublishOutcomes.refused("malformed", "the topic is another shard's, or the number is none");
    const known = this.#knownNow(stream, spaceIncarnation, publish);
    if (known !== undefined)
      return this.#statuses.isInMemory(stream) ? this.#inMemory(stream, known) : PublishOutcomes.of(known);
    if (this.#leader.pendingCount > ShardService.maxPending)
      return {
        case: "publishReply",
        value: {
          outcome: "busy",
          code: "busy",
          reason: "too many publishes are waiting for the disk",
          retryAfterSeconds: 0.5,
        },
      };
    const refusal = ShardService.#refusal(configuration, contract, publish);
    const incarnation = await this.#incarnationOf(stream, spaceIncarnation);
    if (incarnation === undefined || !this.isOpen) return this.#unavailable();
    const accept = create(AcceptSchema, {
      topic,
      stream,
      incarnation,
      session,
      number,
      ownerEpoch: publish.ownerEpoch,
      payload: refusal === undefined ? publish.payload : new Uint8Array(),
      at: this.#leader.shardTime,
      isVoid: refusal !== undefined,
    });
    if (this.#statuses.isInMemory(stream)) {
      if (publish.mayBeRepeat && this.#wouldReorder(stream, contract))
        return PublishOutcomes.unknown("an earlier holder may have accepted this number, in another order");
      return this.#acceptInMemory(accept, refusal);
    }
    const verdict = await this.#leader.propose({ case: "accept", value: accept });
    if (verdict === undefined)
      return PublishOutcomes.unknown("the holder lost its claim before the message was committed");
    if (verdict.kind === "refused" && refusal !== undefined)
      return PublishOutcomes.refused(refusal.code, refusal.reason);
    return PublishOutcomes.of(verdict);
  }

  /**
   * Whether what an earlier leader may have pushed to some edges could come to others in another order than it had
   * there: one order for all is promised, and the earlier one died with its leader.
   */
  #wouldReorder(stream: string, { order }: TopicContract): boolean {
    return order !== "sender" && this.#memory.mayHavePredecessor(stream, this.#leader.shardTime);
  }

  /** Sequences in memory. */
  #acceptInMemory(accept: Accept, refusal: { code: string; reason: string } | undefined): Promise<PublishOutcome> {
    const verdict = this.#memory.accept(accept);
    if (verdict.kind === "accepted" || refusal === undefined) return this.#inMemory(accept.stream, verdict);
    return Promise.resolve(PublishOutcomes.refused(refusal.code, refusal.reason));
  }

  /**
   * What is accepted has been pushed: nothing else remembers it. What an earlier leader may have accepted and pushed
   * is not refused: a refusal promises that it never was and never will be delivered.
   */
  async #inMemory(stream: string, verdict: Verdict): Promise<PublishOutcome> {
    const isUntaken = verdict.kind === "refused" && verdict.code === StreamLog.numberWentBackwards;
    if (isUntaken && this.#memory.mayHavePredecessor(stream, this.#leader.shardTime))
      return PublishOutcomes.unknown("an earlier holder may have accepted this number");
    if (verdict.kind === "accepted" && !(await this.#push(stream)))
      return PublishOutcomes.unknown("the holder lost its claim before the message was pushed");
    return PublishOutcomes.of(verdict);
  }

  /** Beats of one edge for this shard. */
  onHeartbeat(follow: Follow): string {
    if (!this.isOpen) return "away";
    return this.#followers.onHeartbeat(follow) ? "done" : "resync";
  }

  count({ topics }: CountRequest): BodyInit {
    const isEarly = this.#node.parts.clock.now() - this.#servesSince < ShardService.countMs;
    if (!this.isOpen || isEarly) return { case: "countReply", value: { outcome: "away" } };
    const counts = topics.map((topic) => {
      const route = this.#node.configuration.route(topic);
      if (route === undefined) return create(TopicCountSchema, { topic, fault: "behind" });
      return create(TopicCountSchema, { topic, count: this.#followers.countOf(route.stream, topic) });
    });
    return { case: "countReply", value: { outcome: "done", counts } };
  }

  async follow(follow: Follow, edge: string): Promise<BodyInit> {
    if (!this.isOpen) return { case: "followReply", value: { outcome: "away" } };
    if (follow.streams.length === 0 && !follow.isFull)
      return { case: "followReply", value: { outcome: this.onHeartbeat(follow), epoch: this.#leader.epoch } };
    const statuses = follow.streams.map(({ stream, spaceIncarnation }) =>
      this.#statuses.ofStream(stream, spaceIncarnation),
    );
    const followed = follow.streams.filter((_, i) => statuses[i] === "ours");
    await Promise.all(followed.map(({ stream, spaceIncarnation }) => this.#incarnationOf(stream, spaceIncarnation)));
    // A head may become somebody's start only if nobody has taken over meanwhile.
    if (!this.isOpen || !(await this.#leader.confirm()) || !this.isOpen)
      return { case: "followReply", value: { outcome: "away" } };
    if (this.#followers.isStale(follow)) return { case: "followReply", value: { outcome: "resync" } };
    const { heads, number } = this.#followers.admit(follow, followed, edge);
    const found = new Set(heads.map((head) => head.stream));
    const missing = follow.streams.flatMap(({ stream }, i) =>
      found.has(stream)
        ? []
        : [create(StreamHeadSchema, { stream, fault: statuses[i] === "gone" ? "unknown-topic" : "behind" })],
    );
    this.#node.parts.clock.once(0, () => {
      if (this.isOpen) this.#followers.push(found);
    });
    return {
      case: "followReply",
      value: { outcome: "done", heads: [...heads, ...missing], epoch: this.#leader.epoch, number },
    };
  }

  /** Where subscriptions start. Only what the committed head contradicts is an unknown place. */
  async start(ask: StartRequest): Promise<BodyInit> {
    const unavailable: BodyInit = { case: "startReply", value: { outcome: "away" } };
    if (!this.isOpen) return unavailable;
    const asked = ask.cursors.map((cursor) => {
      const route = this.#node.configuration.route(cursor.topic);
      const status = this.#statuses.ofIncarnation(route?.spaceIncarnation, cursor.spaceIncarnation);
      const contract = Configurations.contractFor(this.#node.configuration.configuration, cursor.topic);
      const stream = route?.stream ?? "";
      const fault = status !== "ours" ? "behind" : contract === undefined ? "unknown-topic" : "";
      return { cursor, stream, fault: fault === "" && !this.#isOurs(stream) ? "behind" : fault };
    });
    const good = new Map(
      asked.filter(({ fault }) => fault === "").map((one) => [one.stream, one.cursor.spaceIncarnation]),
    );
    await Promise.all([...good].map(([stream, spaceIncarnation]) => this.#incarnationOf(stream, spaceIncarnation)));
    if (!this.isOpen || !(await this.#leader.confirm()) || !this.isOpen) return unavailable;
    const starts = asked.map(({ cursor, stream, fault }) => {
      const log = this.#find(stream);
      if (fault !== "") return create(TopicStartSchema, { topic: cursor.topic, outcome: fault });
      if (log?.spaceIncarnation !== cursor.spaceIncarnation)
        return create(TopicStartSchema, { topic: cursor.topic, outcome: "behind" });
      return this.#statuses.isInMemory(stream) ? startInMemory(log, cursor) : startInLog(log, cursor);
    });
    return { case: "startReply", value: { outcome: "done", starts } };
  }

  fetch(fetch: Fetch): BodyInit {
    if (!this.isOpen) return { case: "fetchReply", value: { outcome: "away" } };
    const log = this.#find(fetch.stream);
    if (log === undefined || this.#statuses.ofStream(fetch.stream, log.spaceIncarnation) !== "ours")
      return { case: "fetchReply", value: { outcome: "unknown-topic" } };
    return fetchFrom(log, fetch);
  }

  /** Removed spaces end at once; what is past its keep goes at the next trim. */
  configurationChanged(): void {
    const logs = [...this.#replica.state.streams.values()];
    const inMemory = this.#memory.all();
    const isGone = (log: StreamLog): boolean => this.#statuses.ofStream(log.stream, log.spaceIncarnation) === "gone";
    const gone = logs.filter(isGone);
    // A stream that moved between log and memory goes on in another incarnation.
    const left = inMemory.filter((log) => !this.#statuses.isInMemory(log.stream));
    const moved = logs.filter((log) => this.#statuses.isInMemory(log.stream));
    this.#followers.end([...gone, ...inMemory.filter(isGone)].map((log) => log.stream));
    this.#followers.requestRefollow([...left, ...moved].map((log) => log.stream));
    for (const log of [...left, ...inMemory.filter(isGone)]) this.#memory.remove(log.stream);
    if (gone.length + moved.length > 0) void this.#trim();
  }

  tick(): void {
    this.#followers.dropUnresponsive();
    const now = this.#node.parts.clock.now();
    if (now - this.#expiredAt >= 1000) {
      this.#expiredAt = now;
      this.#memory.expire(this.#leader.shardTime, ShardService.forgetMs, (stream) =>
        this.#followers.isFollowed(stream),
      );
    }
    if (now - this.#trimmedAt < 5000) return;
    this.#trimmedAt = now;
    void this.#trim();
  }

  async #trim(): Promise<void> {
    if (!this.isOpen || this.#isTrimming) return;
    const { state } = this.#replica;
    const at = this.#leader.shardTime;
    const streams = [...state.streams.values()].flatMap((log): Array<MessageInitShape<typeof TrimStreamSchema>> => {
      const { stream, incarnation } = log;
      const status = this.#statuses.ofStream(stream, log.spaceIncarnation);
      // Nothing of it is owed any more; should it be kept again, that is another incarnation.
      if (status === "ours" && this.#statuses.isInMemory(stream)) return [{ stream, incarnation, isRemoved: true }];
      if (status !== "ours") return status === "gone" ? [{ stream, incarnation, isRemoved: true }] : [];
      const old = log.messages.findIndex((message) => message.at >= at - this.#retentionMs(message.topic));
      const low = old === -1 ? log.head : log.messages[old]!.seq - 1;
      return low > log.low ? [{ stream, incarnation, low }] : [];
    });
    const forgetBefore = Math.max(0, at - ShardService.forgetMs);
    if (streams.length === 0 && !state.hasSessionsBefore(forgetBefore)) return;
    this.#isTrimming = true;
    await this.#leader.propose({ case: "trim", value: { streams, at, forgetBefore } });
    this.#isTrimming = false;
  }

  #retentionMs(topic: string): number {
    const contract = Configurations.contractFor(this.#node.configuration.configuration, topic);
    return Math.max((contract?.keep ?? 0) * 1000, ShardService.minRetentionMs);
  }

  #find(stream: string): StreamLog | undefined {
    return this.#statuses.isInMemory(stream) ? this.#memory.find(stream) : this.#replica.state.streams.get(stream);
  }

  /**
   * The stream's incarnation, made where there was none of this incarnation of its space; undefined where it could not
   * be.
   */
  async #incarnationOf(stream: string, spaceIncarnation: number): Promise<string | undefined> {
    if (this.#statuses.isInMemory(stream))
      return this.#memory.findOrCreate(stream, spaceIncarnation, this.#leader.shardTime)?.incarnation;
    const { streams } = this.#replica.state;
    let incarnation = this.#incarnations.get(stream);
    if (incarnation === undefined && (streams.get(stream)?.spaceIncarnation ?? 0) < spaceIncarnation) {
      const value = {
        stream,
        incarnation: Streams.incarnation(spaceIncarnation, this.#node.parts.random.identity()),
        at: this.#leader.shardTime,
      };
      // Who comes when it was just made still waits behind those that have waited for it: in a stream's order of
      // arrival.
      const forget = (): void => void this.#incarnations.delete(stream);
      incarnation = this.#leader
        .propose({ case: "createStream", value })
        .then(() => void this.#node.parts.clock.once(0, forget));
      this.#incarnations.set(stream, incarnation);
    }
    if (incarnation !== undefined) await incarnation;
    const log = streams.get(stream);
    return log?.spaceIncarnation === spaceIncarnation ? log.incarnation : undefined;
  }

  #knownNow(stream: string, spaceIncarnation: number, { topic, session, number }: Publish): Verdict | undefined {
    const log = this.#find(stream);
    return log?.spaceIncarnation === spaceIncarnation ? log.known(topic, session, number) : undefined;
  }

  #isOurs(stream: string): boolean {
    return Rendezvous.shardOf(stream, this.#node.parts.settings.shards) === this.#replica.shard;
  }

  /** Pushes at the end of this event-loop turn what the followers lack; false where that may not be done any more. */
  #push(stream: string): Promise<boolean> {
    this.#unpushed.add(stream);
    this.#pushed ??= new Promise((resolve) => {
      this.#pushBatcher.runAtTurnEnd(() => {
        const streams = [...this.#unpushed];
        this.#unpushed.clear();
        this.#pushed = undefined;
        const { isOpen } = this;
        if (isOpen)
          this.#followers.push(
            streams.filter((one) => this.#statuses.ofStream(one, this.#find(one)?.spaceIncarnation ?? 0) === "ours"),
          );
        if (isOpen) this.#memory.trim(streams);
        resolve(isOpen);
      });
    });
    return this.#pushed;
  }

  #unavailable(reason = "", retryAfterSeconds = 0.5): PublishOutcome {
    const { leader } = this.#node.shards.find(this.#replica.shard);
    return { case: "publishReply", value: { outcome: "away", leader, retryAfterSeconds, reason } };
  }

  static #refusal(
    configuration: Configuration | undefined,
    contract: TopicContract,
    publish: Publish,
  ): { code: string; reason: string } | undefined {
    if (!Configurations.mayPublish(contract, publish.session))
      return { code: "not-a-publisher", reason: "the contract does not name this session as a publisher" };
    const most = Configurations.maxPayload(configuration, contract);
    if (publish.payload.length > most)
      return {
        code: "too-large",
        reason: `the payload has ${publish.payload.length} bytes and the plan allows ${most}`,
      };
    return undefined;
  }
}
