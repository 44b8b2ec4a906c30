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
import type { PushTurn } from "./pushTurn.js";

interface FollowedStream {
  incarnation: string;
  sent: number;
  /** The edge's subscribers by topic, of a topic's own stream under "". */
  counts: Map<string, number>;
  /** Pushed by a replica near the edge; followed here for what else there is to tell. */
  isQuiet: boolean;
}
interface Following {
  readonly follow: string;
  readonly edge: string;
  readonly streams: Map<string, FollowedStream>;
  number: number;
  heardAt: number;
  /** Of the last that the edge said; what was delayed or doubled on its way could undo it. */
  serial: number;
}
interface FollowParts {
  node: ClusterNode;
  shard: number;
  epoch: number;
  turn: PushTurn;
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
export class Follows {
  static readonly maxMessages = 200;
  /** An edge that is further behind is not sent everything: its readers fetch what they need. */
  static readonly maxBehind = 400;
  static readonly silentMs = 6000;

  readonly #parts: FollowParts;
  readonly #follows = new Map<string, Following>();
  readonly #byStream = new Map<string, Set<Following>>();

  constructor(parts: FollowParts) {
    this.#parts = parts;
  }

  get count(): number {
    return this.#follows.size;
  }

  isFollowed(stream: string): boolean {
    return this.#byStream.has(stream);
  }

  /** Said before something that was heard already; or an addition to a follow that is not here. */
  isLate({ follow, serial, isFull }: Follow): boolean {
    const following = this.#follows.get(follow);
    return following === undefined ? !isFull : serial <= following.serial;
  }

  streams(): string[] {
    return [...this.#byStream.keys()];
  }

  /** Whether the stream is there no more in an incarnation that somebody follows. */
  isOfAnotherIncarnation(stream: string): boolean {
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
    const following = this.#follows.get(follow.follow);
    if (following === undefined || this.isLate(follow)) return false;
    following.serial = follow.serial;
    following.heardAt = this.#now();
    for (const { stream, topic, count } of follow.counts) {
      const counts = following.streams.get(stream)?.counts;
      if (count > 0) counts?.set(topic, count);
      else counts?.delete(topic);
    }
    for (const stream of follow.left) this.#leave(following, stream);
    for (const { stream, incarnation } of follow.quiet) {
      const at = following.streams.get(stream);
      if (at?.incarnation === incarnation && !this.#parts.isInMemory(stream)) at.isQuiet = true;
    }
    return following.number === follow.seen;
  }

  /** Enrols streams and returns their heads and the number the next push follows on. */
  admit(follow: Follow, followed: readonly StreamAt[], edge: string): { heads: StreamHead[]; number: number } {
    let following = this.#follows.get(follow.follow);
    if (follow.isFull || following === undefined) {
      for (const old of [...this.#follows.values()]) if (old.edge === edge) this.#drop(old);
      following = { follow: follow.follow, edge, streams: new Map(), number: 0, heardAt: 0, serial: 0 };
      this.#follows.set(follow.follow, following);
    }
    following.heardAt = this.#now();
    following.serial = follow.serial;
    const heads: StreamHead[] = [];
    for (const at of followed) {
      const { stream } = at;
      const log = this.#parts.find(stream);
      if (log === undefined) continue;
      const sent = this.#sentTo(log, at);
      const isQuiet = at.isQuiet && at.incarnation === log.incarnation && !this.#parts.isInMemory(stream);
      following.streams.set(stream, { incarnation: log.incarnation, sent, counts: Follows.#countsOf(at), isQuiet });
      let followers = this.#byStream.get(stream);
      if (followers === undefined) this.#byStream.set(stream, (followers = new Set()));
      followers.add(following);
      heads.push(create(StreamHeadSchema, { stream, incarnation: log.incarnation, from: sent, low: log.low }));
    }
    return { heads, number: following.number };
  }

  /** Sends whatever each follower of these streams has not been sent. */
  push(streams: Iterable<string>): void {
    const batches = new Map<Following, StreamBatch[]>();
    for (const stream of streams) {
      for (const following of this.#byStream.get(stream) ?? []) {
        const list = batches.get(following) ?? [];
        // All of it: what is left over here would wait for somebody's next message.
        for (let batch = this.#batch(following, stream); batch !== undefined; batch = this.#batch(following, stream))
          list.push(batch);
        if (list.length > 0) batches.set(following, list);
      }
    }
    for (const [following, list] of batches) this.#send(following, list);
  }

  /** Tells the followers of streams that no configuration owes any more. */
  end(streams: Iterable<string>): void {
    this.#dismiss(streams, "topic-gone");
  }

  /** Streams that go on in another incarnation, in memory or in the log: a batch of none makes their followers ask. */
  askAgain(streams: Iterable<string>): void {
    this.#dismiss(streams, "");
  }

  /** Tells all followers that nothing is pushed to them from here any more. */
  leaveAll(): void {
    for (const following of [...this.#follows.values()]) {
      this.#drop(following);
      const { turn, shard, epoch } = this.#parts;
      turn.tell(following.edge, { shard, epoch, follow: following.follow, isUnavailable: true });
    }
  }

  forgetSilent(): void {
    const now = this.#now();
    for (const following of [...this.#follows.values()])
      if (now - following.heardAt > Follows.silentMs) this.#drop(following);
  }

  /** Messages after a place, as many as fit one reply. */
  static slice(messages: readonly StreamMessage[], low: number, after: number, most: number): StreamMessage[] {
    const found: StreamMessage[] = [];
    let size = 0;
    for (let i = Math.max(0, after - low); i < messages.length && found.length < most && size < 1024 * 1024; i += 1) {
      found.push(messages[i]!);
      size += messages[i]!.payload.length + 64;
    }
    return found;
  }

  #now(): number {
    return this.#parts.node.parts.clock.now();
  }

  #sentTo(log: StreamLog, { stream, incarnation, after }: StreamAt): number {
    if (incarnation === log.incarnation && log.head - after <= Follows.maxBehind) return Math.max(after, log.low);
    return incarnation !== "" && incarnation !== log.incarnation && this.#parts.isInMemory(stream) ? log.low : log.head;
  }

  #dismiss(streams: Iterable<string>, fault: string): void {
    for (const stream of streams) {
      for (const following of this.#byStream.get(stream) ?? []) {
        following.streams.delete(stream);
        this.#send(following, [create(StreamBatchSchema, { stream, fault })]);
      }
      this.#byStream.delete(stream);
    }
  }

  #batch(following: Following, stream: string): StreamBatch | undefined {
    const at = following.streams.get(stream);
    const log = this.#parts.find(stream);
    if (
      at === undefined ||
      at.isQuiet ||
      log === undefined ||
      at.incarnation !== log.incarnation ||
      at.sent >= log.head
    )
      return undefined;
    const messages = Follows.slice(log.messages, log.low, at.sent, Follows.maxMessages);
    const prev = (messages[0]?.seq ?? log.head + 1) - 1;
    at.sent = messages.at(-1)?.seq ?? log.head;
    return create(StreamBatchSchema, { stream, incarnation: log.incarnation, prev, messages });
  }

  #send(following: Following, batches: StreamBatch[]): void {
    following.number += 1;
    const { turn, shard, epoch } = this.#parts;
    turn.tell(following.edge, { shard, epoch, follow: following.follow, number: following.number, batches });
  }

  #drop(following: Following): void {
    this.#follows.delete(following.follow);
    for (const stream of [...following.streams.keys()]) this.#leave(following, stream);
  }

  #leave(following: Following, stream: string): void {
    following.streams.delete(stream);
    const followers = this.#byStream.get(stream);
    followers?.delete(following);
    if (followers?.size === 0) this.#byStream.delete(stream);
  }

  static #countsOf({ count, counts }: StreamAt): Map<string, number> {
    const all = [["", count] as const, ...counts.map((one) => [one.topic, one.count] as const)];
    return new Map(all.filter(([, number]) => number > 0));
  }
}
