import { create } from "@bufbuild/protobuf";
import {
  StreamBatchSchema,
  StreamHeadSchema,
  type Follow,
  type StreamAt,
  type StreamBatch,
  type StreamHead,
  type StreamMessage,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StreamLog } from "../shards/streamLog.js";
import type { PushBatcher } from "./pushTurn.js";

interface FollowedStream {
  incarnation: string;
  sent: number;
  /** The edge's subscribers by topic, of a topic's own stream under "". */
  counts: Map<string, number>;
  /** Pushed by a replica near the edge; followed here for what else there is to tell. */
  isQuiet: boolean;
}
interface Follower {
  readonly follow: string;
  readonly edge: string;
  readonly streams: Map<string, FollowedStream>;
  number: number;
  lastContactAt: number;
  /** Of the last that the edge said; what was delayed or doubled on its way could undo it. */
  serial: number;
}
interface StreamFollowersParts {
  node: ClusterNode;
  shard: number;
  epoch: number;
  pushBatcher: PushBatcher;
  /** The stream as it is owed now, in the log or in memory. */
  find: (stream: string) => StreamLog | undefined;
  /** Streams in memory, of which an edge that knew an earlier incarnation is pushed all there is. */
  isInMemory: (stream: string) => boolean;
}

/**
 * Which edges follow which streams of one held shard, and with how many subscribers. Pushes are numbered a
 * follow; what an edge misses it sees by the numbers and asks for.
 * Invariant: only committed messages are pushed, each stream's in order.
 */
export class StreamFollowers {
  static readonly maxMessages = 200;
  /** An edge that is further behind is not sent everything: its readers fetch what they need. */
  static readonly maxBehind = 400;
  static readonly unresponsiveMs = 6000;

  readonly #parts: StreamFollowersParts;
  readonly #followers = new Map<string, Follower>();
  readonly #byStream = new Map<string, Set<Follower>>();

  constructor(parts: StreamFollowersParts) {
    this.#parts = parts;
  }

  get count(): number {
    return this.#followers.size;
  }

  isFollowed(stream: string): boolean {
    return this.#byStream.has(stream);
  }

  /** Said before something that was heard already; or an addition to a follow that is not here. */
  isStale({ follow, serial, isFull }: Follow): boolean {
    const follower = this.#followers.get(follow);
    return follower === undefined ? !isFull : serial <= follower.serial;
  }

  streams(): string[] {
    return [...this.#byStream.keys()];
  }

  /** Whether the stream is there no more in an incarnation that somebody follows. */
  isOtherIncarnation(stream: string): boolean {
    const incarnation = this.#parts.find(stream)?.incarnation;
    return [...(this.#byStream.get(stream) ?? [])].some((one) => one.streams.get(stream)?.incarnation !== incarnation);
  }

  /** Subscribers of a topic at all edges that are there. */
  countOf(stream: string, topic: string): number {
    const { membership } = this.#parts.node;
    let sum = 0;
    for (const { edge, streams } of this.#byStream.get(stream) ?? []) {
      const counts = streams.get(stream)?.counts;
      if (membership.isAlive(edge)) sum += counts?.get(topic) ?? counts?.get("") ?? 0;
    }
    return sum;
  }

  /** True where the edge has seen all pushes; otherwise it must follow in full again. */
  onHeartbeat(follow: Follow): boolean {
    const follower = this.#followers.get(follow.follow);
    if (follower === undefined || this.isStale(follow)) return false;
    follower.serial = follow.serial;
    follower.lastContactAt = this.#now();
    for (const { stream, topic, count } of follow.counts) {
      const counts = follower.streams.get(stream)?.counts;
      if (count > 0) counts?.set(topic, count);
      else counts?.delete(topic);
    }
    for (const stream of follow.left) this.#unfollow(follower, stream);
    for (const { stream, incarnation } of follow.quiet) {
      const followed = follower.streams.get(stream);
      if (followed?.incarnation === incarnation && !this.#parts.isInMemory(stream)) followed.isQuiet = true;
    }
    return follower.number === follow.seen;
  }

  /** Enrols streams and returns their heads and the number the next push follows on. */
  admit(follow: Follow, followed: readonly StreamAt[], edge: string): { heads: StreamHead[]; number: number } {
    let follower = this.#followers.get(follow.follow);
    if (follow.isFull || follower === undefined) {
      for (const old of [...this.#followers.values()]) if (old.edge === edge) this.#drop(old);
      follower = { follow: follow.follow, edge, streams: new Map(), number: 0, lastContactAt: 0, serial: 0 };
      this.#followers.set(follow.follow, follower);
    }
    follower.lastContactAt = this.#now();
    follower.serial = follow.serial;
    const heads: StreamHead[] = [];
    for (const at of followed) {
      const { stream } = at;
      const log = this.#parts.find(stream);
      if (log === undefined) continue;
      const sent = this.#startFor(log, at);
      const isQuiet = at.isQuiet && at.incarnation === log.incarnation && !this.#parts.isInMemory(stream);
      follower.streams.set(stream, {
        incarnation: log.incarnation,
        sent,
        counts: StreamFollowers.#subscriberCounts(at),
        isQuiet,
      });
      let ofStream = this.#byStream.get(stream);
      if (ofStream === undefined) this.#byStream.set(stream, (ofStream = new Set()));
      ofStream.add(follower);
      heads.push(create(StreamHeadSchema, { stream, incarnation: log.incarnation, from: sent, low: log.low }));
    }
    return { heads, number: follower.number };
  }

  /** Sends whatever each follower of these streams has not been sent. */
  push(streams: Iterable<string>): void {
    const batches = new Map<Follower, StreamBatch[]>();
    for (const stream of streams) {
      for (const follower of this.#byStream.get(stream) ?? []) {
        const pending = batches.get(follower) ?? [];
        // All of it: what is left over here would wait for somebody's next message.
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

  /** Tells the followers of streams that no configuration owes any more. */
  end(streams: Iterable<string>): void {
    this.#endStreams(streams, "topic-gone");
  }

  /** Streams that go on in another incarnation, in memory or in the log: a batch of none makes their followers ask. */
  requestRefollow(streams: Iterable<string>): void {
    this.#endStreams(streams, "");
  }

  /** Tells all followers that nothing is pushed to them from here any more. */
  endAll(): void {
    for (const follower of [...this.#followers.values()]) {
      this.#drop(follower);
      const { pushBatcher, shard, epoch } = this.#parts;
      pushBatcher.send(follower.edge, { shard, epoch, follow: follower.follow, isUnavailable: true });
    }
  }

  dropUnresponsive(): void {
    const now = this.#now();
    for (const follower of [...this.#followers.values()])
      if (now - follower.lastContactAt > StreamFollowers.unresponsiveMs) this.#drop(follower);
  }

  /** Messages after a place, as many as fit one reply. */
  static slice(messages: readonly StreamMessage[], low: number, after: number, maxCount: number): StreamMessage[] {
    const found: StreamMessage[] = [];
    let size = 0;
    for (
      let i = Math.max(0, after - low);
      i < messages.length && found.length < maxCount && size < 1024 * 1024;
      i += 1
    ) {
      found.push(messages[i]!);
      size += messages[i]!.payload.length + 64;
    }
    return found;
  }

  #now(): number {
    return this.#parts.node.parts.clock.now();
  }

  #startFor(log: StreamLog, { stream, incarnation, after }: StreamAt): number {
    if (incarnation === log.incarnation && log.head - after <= StreamFollowers.maxBehind)
      return Math.max(after, log.low);
    return incarnation !== "" && incarnation !== log.incarnation && this.#parts.isInMemory(stream) ? log.low : log.head;
  }

  #endStreams(streams: Iterable<string>, fault: string): void {
    for (const stream of streams) {
      for (const follower of this.#byStream.get(stream) ?? []) {
        follower.streams.delete(stream);
        this.#send(follower, [create(StreamBatchSchema, { stream, fault })]);
      }
      this.#byStream.delete(stream);
    }
  }

  #nextBatch(follower: Follower, stream: string): StreamBatch | undefined {
    const followed = follower.streams.get(stream);
    const log = this.#parts.find(stream);
    if (
      followed === undefined ||
      followed.isQuiet ||
      log === undefined ||
      followed.incarnation !== log.incarnation ||
      followed.sent >= log.head
    )
      return undefined;
    const messages = StreamFollowers.slice(log.messages, log.low, followed.sent, StreamFollowers.maxMessages);
    const prev = (messages[0]?.seq ?? log.head + 1) - 1;
    followed.sent = messages.at(-1)?.seq ?? log.head;
    return create(StreamBatchSchema, { stream, incarnation: log.incarnation, prev, messages });
  }

  #send(follower: Follower, batches: StreamBatch[]): void {
    follower.number += 1;
    const { pushBatcher, shard, epoch } = this.#parts;
    pushBatcher.send(follower.edge, { shard, epoch, follow: follower.follow, number: follower.number, batches });
  }

  #drop(follower: Follower): void {
    this.#followers.delete(follower.follow);
    for (const stream of [...follower.streams.keys()]) this.#unfollow(follower, stream);
  }

  #unfollow(follower: Follower, stream: string): void {
    follower.streams.delete(stream);
    const ofStream = this.#byStream.get(stream);
    ofStream?.delete(follower);
    if (ofStream?.size === 0) this.#byStream.delete(stream);
  }

  static #subscriberCounts({ count, counts }: StreamAt): Map<string, number> {
    const all = [["", count] as const, ...counts.map((one) => [one.topic, one.count] as const)];
    return new Map(all.filter(([, number]) => number > 0));
  }
}
