import { create } from "@bufbuild/protobuf";
import { Configurations, type TopicContract } from "@cranetrack/core/configuration/configuration.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { AcceptSchema, type Accept, type Publish } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { repeatWindowMs } from "@cranetrack/core/runtime/repeatWindow.js";
import { AwaitedRetries } from "./awaitedRetries.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { MemoryStreams } from "./memoryStreams.js";
import {
  noRoomReply,
  overloadedReply,
  refusedReply,
  verdictReply,
  unavailableReply,
  unknownReply,
} from "./publishReplies.js";
import type { PublishReply } from "./publishReplies.js";
import { findContractViolation, type ContractViolation } from "./publishValidation.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import { StreamLog, type Verdict } from "./streamLog.js";
import type { StreamPusher } from "./streamPusher.js";

interface PublishHandlerParts {
  node: ClusterNode;
  shard: number;
  leader: ShardLeader;
  authority: LeaderAuthority;
  streams: ServedStreams;
  pusher: StreamPusher;
}

/** The incarnation that a message goes into, and its contract. A void message only uses up its number. */
interface AcceptTarget {
  readonly stream: string;
  readonly incarnation: string;
  readonly contract: TopicContract;
  readonly isVoid: boolean;
}

/**
 * Handles publishes for a shard's leader: checks them against the configuration in force and sequences them, in the
 * replicated log or in memory. A refusal is permanent; a publish that was accepted, or may yet be, is not refused.
 */
export class PublishHandler {
  /** Number of entries that may wait for their commit; above it, publishes are rejected as overloaded. */
  static readonly maxPending = 2000;
  /** Size in bytes of the entries that may wait for their commit; above it, publishes are rejected as overloaded. */
  static readonly maxPendingBytes = 4 * 1024 * 1024;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #leader: ShardLeader;
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #memory: MemoryStreams;
  readonly #pusher: StreamPusher;
  readonly #awaitedRetries = new AwaitedRetries();
  readonly #createdAt: number;

  constructor({ node, shard, leader, authority, streams, pusher }: PublishHandlerParts) {
    this.#node = node;
    this.#shard = shard;
    this.#leader = leader;
    this.#authority = authority;
    this.#streams = streams;
    this.#memory = streams.memory;
    this.#pusher = pusher;
    this.#createdAt = node.parts.clock.now();
  }

  /**
   * Sequences a publish. Numbers of one sender in one topic keep the order in which they arrive, whatever each of them
   * waits for.
   */
  async publish(publish: Publish): Promise<PublishReply> {
    const { topic, session, number } = publish;
    const now = this.#node.parts.clock.now();
    if (this.#awaitedRetries.isBehindAwaitedRetry(topic, session, number, now))
      return this.#unavailable("an earlier number is to be sent again", 0.2);
    const reply = await this.#validateAndSequence(publish);
    const isUnavailable = reply.value.outcome === "away" || reply.value.outcome === "busy";
    this.#awaitedRetries.recordOutcome(topic, session, number, isUnavailable, now);
    return reply;
  }

  async #validateAndSequence(publish: Publish): Promise<PublishReply> {
    if (!this.#authority.isAuthorized) return this.#unavailable();
    const { statuses } = this.#streams;
    const { topic, number } = publish;
    await statuses.waitForConfigurations([[statuses.routeOf(topic), publish]]);
    if (!this.#authority.isAuthorized) return this.#unavailable();
    const route = this.#node.configuration.route(topic);
    // This node or the sender lacks the newest configuration; a space that this node has seen removed may be back.
    if (route === undefined || statuses.ofRequest(route, publish) !== "current")
      return this.#unavailable("the topic's space is changing", 0.2);
    const { configuration } = this.#node.configuration;
    const contract = Configurations.contractFor(configuration, topic);
    if (contract === undefined) return refusedReply("unknown-topic", `the plan in force has no rule for ${topic}`);
    if (!this.#streams.isInThisShard(route.stream) || !Number.isSafeInteger(number) || number < 1)
      return refusedReply("malformed", "the topic is another shard's, or the number is none");
    return this.#sequence(publish, route, contract);
  }

  /** Does not wait between the last check for a known number and the moment when the message is sequenced. */
  async #sequence(publish: Publish, route: StreamRoute, contract: TopicContract): Promise<PublishReply> {
    const { statuses } = this.#streams;
    const { stream } = route;
    if (this.#streams.knownVerdict(route, publish) === undefined) {
      if (this.#isOverloaded) return overloadedReply();
      if (!statuses.isInMemory(stream) && !this.#leader.hasRoom) return noRoomReply();
    }
    const incarnation = await this.#streams.ensureIncarnation(route);
    if (incarnation === undefined || !this.#authority.isAuthorized) return this.#unavailable();
    const isInMemory = statuses.isInMemory(stream);
    if (this.#streams.find(stream)?.incarnation !== incarnation)
      return this.#unavailable("the topic's space is changing", 0.2);
    const known = this.#streams.knownVerdict(route, publish);
    if (known !== undefined) return isInMemory ? this.#replyFromMemory(stream, known) : verdictReply(known);
    const violation = findContractViolation(this.#node.configuration.configuration, contract, publish);
    const accept = this.#acceptCommand(publish, { stream, incarnation, contract, isVoid: violation !== undefined });
    if (isInMemory) {
      if (publish.mayBeRepeat && this.#wouldReorder(stream, contract))
        return unknownReply("an earlier holder may have accepted this number, in another order");
      return this.#acceptInMemory(accept, violation);
    }
    if (publish.mayBeInMemory && this.#mayHavePredecessor)
      return unknownReply("an earlier holder may have accepted this number in its memory");
    const verdict = await this.#leader.propose({ case: "accept", value: accept });
    if (verdict === undefined) return unknownReply("the holder lost its claim before the message was committed");
    if (verdict.kind === "refused" && violation !== undefined) return refusedReply(violation.code, violation.reason);
    return verdictReply(verdict);
  }

  /** Whether numbers may still arrive that an earlier leader of the shard accepted in its memory. */
  get #mayHavePredecessor(): boolean {
    const { clock, settings } = this.#node.parts;
    return clock.now() - this.#createdAt < repeatWindowMs(settings);
  }

  get #isOverloaded(): boolean {
    const { pendingCount, pendingBytes } = this.#leader;
    return pendingCount > PublishHandler.maxPending || pendingBytes > PublishHandler.maxPendingBytes;
  }

  /** A void command uses up its number and delivers nothing. */
  #acceptCommand(publish: Publish, { stream, incarnation, contract, isVoid }: AcceptTarget): Accept {
    const { topic, session, number, ownerEpoch } = publish;
    return create(AcceptSchema, {
      topic,
      stream,
      incarnation,
      session,
      number,
      ownerEpoch,
      payload: isVoid ? new Uint8Array() : publish.payload,
      at: this.#leader.shardTime,
      isVoid,
      keepMs: contract.keep * 1000,
    });
  }

  /**
   * Whether messages that an earlier leader may have pushed to some edges could reach other edges in another order. The
   * contract promises one order for all, and the earlier order was lost with its leader.
   */
  #wouldReorder(stream: string, { order }: TopicContract): boolean {
    return order !== "sender" && this.#memory.mayHavePredecessor(stream, this.#leader.shardTime);
  }

  #acceptInMemory(accept: Accept, violation: ContractViolation | undefined): Promise<PublishReply> {
    const verdict = this.#memory.accept(accept);
    if (verdict.kind !== "refused" || violation === undefined) return this.#replyFromMemory(accept.stream, verdict);
    return Promise.resolve(refusedReply(violation.code, violation.reason));
  }

  /**
   * An accepted message is pushed before the reply, because it is stored nowhere else. A number that an earlier leader
   * may have accepted and pushed is not refused: a refusal promises that it never was and never will be delivered.
   */
  async #replyFromMemory(stream: string, verdict: Verdict): Promise<PublishReply> {
    const isNeverAccepted = verdict.kind === "refused" && verdict.code === StreamLog.numberWentBackwards;
    if (isNeverAccepted && this.#memory.mayHavePredecessor(stream, this.#leader.shardTime))
      return unknownReply("an earlier holder may have accepted this number");
    if (verdict.kind === "accepted" && !(await this.#pusher.push(stream)))
      return unknownReply("the holder lost its claim before the message was pushed");
    return verdictReply(verdict);
  }

  #unavailable(reason = "", retryAfterSeconds = 0.5): PublishReply {
    return unavailableReply(this.#node.shards.find(this.#shard).leader, reason, retryAfterSeconds);
  }
}
