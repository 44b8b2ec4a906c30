import { create } from "@bufbuild/protobuf";
import {
  StreamBatchSchema,
  StreamHeadSchema,
  type Follow,
  type StreamAt,
  type StreamBatch,
  type StreamHead,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StreamLog } from "../shards/streamLog.js";
import { sliceMessages } from "../shards/streamReads.js";
import type { PushBatcher } from "./pushBatcher.js";

/** One stream that an edge follows. */
interface FollowedStream {
  incarnation: string;
  /** Offset of the last message that was pushed to the edge. */
  lastSentSeq: number;
  /** The edge's subscribers by topic; for a stream that belongs to a single topic, the key is "". */
  subscriberCounts: Map<string, number>;
  /** A replica near the edge pushes the messages; this node only reports the end of the stream or incarnation. */
  isPushedByReplica: boolean;
}

/** One edge's follow of this shard. */
interface Follower {
  readonly followId: string;
  readonly edge: string;
  readonly streams: Map<string, FollowedStream>;
  /** Number of the last push; the next one has this number plus 1. */
  lastPushNumber: number;
  /** Milliseconds of the node's clock. */
  lastContactAt: number;
  /** Serial of the edge's latest request or heartbeat; one with no higher serial is delayed or doubled, and ignored. */
  lastSerial: number;
}

/** What the followers of one shard need from the node. */
interface StreamFollowersParts {
  node: ClusterNode;
  shard: number;
  epoch: number;
  pushBatcher: PushBatcher;
  /** Finds the stream's current log, in the shard's log or in memory as its contract says. */
  findLog: (stream: string) => StreamLog | undefined;
  /** Whether the stream is only in memory; an edge that knew an earlier incarnation is pushed all messages it has. */
  isInMemory: (stream: string) => boolean;
}

/**
 * Records which edges follow which streams of one shard and with how many subscribers, and pushes messages to them.
 * Pushes are numbered in each follow, so that an edge notices a missing push and asks for its content.
 * Invariant: only committed messages are pushed, and those of each stream in order.
 */
export class StreamFollowers {
  /** Messages in one batch of a push. */
  static readonly maxBatchMessages = 200;
  /** An edge that is more messages behind is not sent the backlog: its readers fetch what they need. */
  static readonly maxBacklogMessages = 400;
  /** A follower that has sent no request or heartbeat for this long is removed. */
  static readonly followerTimeoutMs = 6000;

  readonly #parts: StreamFollowersParts;
  readonly #followers = new Map<string, Follower>();
  readonly #followersByStream = new Map<string, Set<Follower>>();

  constructor(parts: StreamFollowersParts) {
    this.#parts = parts;
  }

  /** How many edges follow streams of this shard at this node. */
  get count(): number {
    return this.#followers.size;
  }

  /** Whether any edge follows the stream. */
  isFollowed(stream: string): boolean {
    return this.#followersByStream.has(stream);
  }

  /**
   * Whether a request or heartbeat must be ignored: the edge sent it before one that was already received, or it adds
   * to a follow that this node does not know.
   */
  isStale({ follow, serial, isFull }: Follow): boolean {
    const follower = this.#followers.get(follow);
    return follower === undefined ? !isFull : serial <= follower.lastSerial;
  }

  /** The streams that any edge follows. */
  streams(): string[] {
    return [...this.#followersByStream.keys()];
  }

  /** Whether any edge follows the stream in an incarnation other than the current one. */
  isOtherIncarnation(stream: string): boolean {
    const incarnation = this.#parts.findLog(stream)?.incarnation;
    return [...(this.#followersByStream.get(stream) ?? [])].some(
      (follower) => follower.streams.get(stream)?.incarnation !== incarnation,
    );
  }

  /** The number of subscribers of a topic at all edges that are alive. */
  subscriberCountOf(stream: string, topic: string): number {
    const { membership } = this.#parts.node;
    let subscribers = 0;
    for (const { edge, streams } of this.#followersByStream.get(stream) ?? []) {
      const counts = streams.get(stream)?.subscriberCounts;
      if (membership.isAlive(edge)) subscribers += counts?.get(topic) ?? counts?.get("") ?? 0;
    }
    return subscribers;
  }

  /** Applies an edge's heartbeat; false if the edge missed a push or is unknown and so must follow in full again. */
  onHeartbeat(follow: Follow): boolean {
    const follower = this.#followers.get(follow.follow);
    if (follower === undefined || this.isStale(follow)) return false;
    follower.lastSerial = follow.serial;
    follower.lastContactAt = this.#now();
    for (const { stream, topic, count } of follow.counts) {
      const counts = follower.streams.get(stream)?.subscriberCounts;
      if (count > 0) counts?.set(topic, count);
      else counts?.delete(topic);
    }
    for (const stream of follow.left) this.#unfollow(follower, stream);
    for (const { stream, incarnation } of follow.quiet) {
      const followed = follower.streams.get(stream);
      if (followed?.incarnation === incarnation && !this.#parts.isInMemory(stream)) followed.isPushedByReplica = true;
    }
    return follower.lastPushNumber === follow.seen;
  }

  /**
   * Adds streams to an edge's follow (a full follow replaces the edge's earlier ones). Returns the heads of the streams
   * that exist and the number of the last push.
   */
  add(follow: Follow, requestedStreams: readonly StreamAt[], edge: string): { heads: StreamHead[]; number: number } {
    let follower = this.#followers.get(follow.follow);
    if (follow.isFull || follower === undefined) {
      for (const existing of [...this.#followers.values()]) if (existing.edge === edge) this.#removeFollower(existing);
      follower = {
        followId: follow.follow,
        edge,
        streams: new Map(),
        lastPushNumber: 0,
        lastContactAt: 0,
        lastSerial: 0,
      };
      this.#followers.set(follow.follow, follower);
    }
    follower.lastContactAt = this.#now();
    follower.lastSerial = follow.serial;
    const heads: StreamHead[] = [];
    for (const requested of requestedStreams) {
      const { stream } = requested;
      const log = this.#parts.findLog(stream);
      if (log === undefined) continue;
      const lastSentSeq = this.#startingSeqFor(log, requested);
      const isPushedByReplica =
        requested.isQuiet && requested.incarnation === log.incarnation && !this.#parts.isInMemory(stream);
      follower.streams.set(stream, {
        incarnation: log.incarnation,
        lastSentSeq,
        subscriberCounts: StreamFollowers.#subscriberCounts(requested),
        isPushedByReplica,
      });
      let followersOfStream = this.#followersByStream.get(stream);
      if (followersOfStream === undefined) this.#followersByStream.set(stream, (followersOfStream = new Set()));
      followersOfStream.add(follower);
      heads.push(create(StreamHeadSchema, { stream, incarnation: log.incarnation, from: lastSentSeq, low: log.low }));
    }
    return { heads, number: follower.lastPushNumber };
  }

  /** Pushes to each follower of these streams all messages that it has not been sent yet. */
  push(streams: Iterable<string>): void {
    const batches = new Map<Follower, StreamBatch[]>();
    for (const stream of streams) {
      for (const follower of this.#followersByStream.get(stream) ?? []) {
        const pending = batches.get(follower) ?? [];
        // Sends all batches: messages left over would wait until the next one is published on the stream.
        for (
          let batch = this.#nextBatch(follower, stream);
          batch !== undefined;
          batch = this.#nextBatch(follower, stream)
        )
          pending.push(batch);
        if (pending.length > 0) batches.set(follower, pending);
      }
    }
    for (const [follower, pending] of batches) this.#send(follower, pending);
  }

  /** Tells followers that no contract covers these streams any more, and ends the follows of them. */
  endStreams(streams: Iterable<string>): void {
    this.#endStreams(streams, "topic-gone");
  }

  /** Ends follows of streams that continue in another incarnation; an empty batch makes the edges follow them again. */
  requestRefollow(streams: Iterable<string>): void {
    this.#endStreams(streams, "");
  }

  /** Tells all followers that this node no longer pushes to them, and removes them. */
  endAll(): void {
    for (const follower of [...this.#followers.values()]) {
      this.#removeFollower(follower);
      const { pushBatcher, shard, epoch } = this.#parts;
      pushBatcher.send(follower.edge, { shard, epoch, follow: follower.followId, isUnavailable: true });
    }
  }

  /** Removes the followers that have sent nothing for `followerTimeoutMs`. */
  dropUnresponsive(): void {
    const now = this.#now();
    for (const follower of [...this.#followers.values()])
      if (now - follower.lastContactAt > StreamFollowers.followerTimeoutMs) this.#removeFollower(follower);
  }

  #now(): number {
    return this.#parts.node.parts.clock.now();
  }

  /** The offset after which pushes begin. */
  #startingSeqFor(log: StreamLog, { stream, incarnation, after }: StreamAt): number {
    if (incarnation === log.incarnation && log.head - after <= StreamFollowers.maxBacklogMessages)
      return Math.max(after, log.low);
    return incarnation !== "" && incarnation !== log.incarnation && this.#parts.isInMemory(stream) ? log.low : log.head;
  }

  #endStreams(streams: Iterable<string>, fault: string): void {
    for (const stream of streams) {
      for (const follower of this.#followersByStream.get(stream) ?? []) {
        follower.streams.delete(stream);
        this.#send(follower, [create(StreamBatchSchema, { stream, fault })]);
      }
      this.#followersByStream.delete(stream);
    }
  }

  #nextBatch(follower: Follower, stream: string): StreamBatch | undefined {
    const followed = follower.streams.get(stream);
    const log = this.#parts.findLog(stream);
    if (
      followed === undefined ||
      followed.isPushedByReplica ||
      log === undefined ||
      followed.incarnation !== log.incarnation ||
      followed.lastSentSeq >= log.head
    )
      return undefined;
    const messages = sliceMessages(log.messages, log.low, followed.lastSentSeq, StreamFollowers.maxBatchMessages);
    const prev = (messages[0]?.seq ?? log.head + 1) - 1;
    followed.lastSentSeq = messages.at(-1)?.seq ?? log.head;
    return create(StreamBatchSchema, { stream, incarnation: log.incarnation, prev, messages });
  }

  #send(follower: Follower, batches: StreamBatch[]): void {
    follower.lastPushNumber += 1;
    const { pushBatcher, shard, epoch } = this.#parts;
    pushBatcher.send(follower.edge, {
      shard,
      epoch,
      follow: follower.followId,
      number: follower.lastPushNumber,
      batches,
    });
  }

  #removeFollower(follower: Follower): void {
    this.#followers.delete(follower.followId);
    for (const stream of [...follower.streams.keys()]) this.#unfollow(follower, stream);
  }

  #unfollow(follower: Follower, stream: string): void {
    follower.streams.delete(stream);
    const followersOfStream = this.#followersByStream.get(stream);
    followersOfStream?.delete(follower);
    if (followersOfStream?.size === 0) this.#followersByStream.delete(stream);
  }

  static #subscriberCounts({ count, counts }: StreamAt): Map<string, number> {
    const entries = [["", count] as const, ...counts.map((ofTopic) => [ofTopic.topic, ofTopic.count] as const)];
    return new Map(entries.filter(([, subscribers]) => subscribers > 0));
  }
}
