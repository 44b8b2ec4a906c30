import { create } from "@bufbuild/protobuf";
import {
  StreamBatchSchema,
  StreamHeadSchema,
  type Follow,
  type StreamAt,
  type StreamBatch,
  type StreamHead,
  type StreamMessage,
} from "@cranetrack/chest/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { ShardState } from "../mark/shardState.js";

interface Following {
  readonly follow: string;
  readonly edge: string;
  readonly streams: Map<string, { birth: string; sent: number }>;
  number: number;
  heardAt: number;
}

/**
 * Which edges follow which streams of one held shard. Pushes are numbered a follow; what an edge misses
 * it sees by the numbers and asks for.
 * Invariant: only committed messages are pushed, each stream's in order.
 */
export class Follows {
  static readonly mostMessages = 200;
  /** An edge that is further behind is not sent everything: its readers fetch what they need. */
  static readonly mostBehind = 400;
  static readonly silentMs = 6000;

  readonly #node: ClusterNode;
  readonly #state: ShardState;
  readonly #shard: number;
  readonly #epoch: number;
  readonly #follows = new Map<string, Following>();
  readonly #byStream = new Map<string, Set<Following>>();

  constructor(node: ClusterNode, state: ShardState, shard: number, epoch: number) {
    this.#node = node;
    this.#state = state;
    this.#shard = shard;
    this.#epoch = epoch;
  }

  get count(): number {
    return this.#follows.size;
  }

  /** True where the edge has seen all pushes; otherwise it must follow in full again. */
  beat(follow: Follow): boolean {
    const following = this.#follows.get(follow.follow);
    if (following === undefined) return false;
    following.heardAt = this.#node.parts.clock.now();
    return following.number === follow.seen;
  }

  /** Enrols streams and returns their heads and the number the next push follows on. */
  enrol(follow: Follow, followed: readonly StreamAt[], edge: string): { heads: StreamHead[]; number: number } {
    let following = this.#follows.get(follow.follow);
    if (follow.isFull || following === undefined) {
      for (const old of [...this.#follows.values()]) if (old.edge === edge) this.#drop(old);
      following = { follow: follow.follow, edge, streams: new Map(), number: 0, heardAt: 0 };
      this.#follows.set(follow.follow, following);
    }
    following.heardAt = this.#node.parts.clock.now();
    const heads: StreamHead[] = [];
    for (const { stream, birth, after } of followed) {
      const log = this.#state.streams.get(stream);
      if (log === undefined) continue;
      const isNear = birth === log.birth && log.head - after <= Follows.mostBehind;
      const sent = isNear ? Math.max(after, log.low) : log.head;
      following.streams.set(stream, { birth: log.birth, sent });
      let followers = this.#byStream.get(stream);
      if (followers === undefined) this.#byStream.set(stream, (followers = new Set()));
      followers.add(following);
      heads.push(create(StreamHeadSchema, { stream, birth: log.birth, from: sent, low: log.low }));
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

  /** Tells the followers of streams that no plan owes any more. */
  end(streams: Iterable<string>): void {
    for (const stream of streams) {
      for (const following of this.#byStream.get(stream) ?? []) {
        following.streams.delete(stream);
        this.#send(following, [create(StreamBatchSchema, { stream, fault: "topic-gone" })]);
      }
      this.#byStream.delete(stream);
    }
  }

  forgetSilent(): void {
    const now = this.#node.parts.clock.now();
    for (const following of [...this.#follows.values()])
      if (now - following.heardAt > Follows.silentMs) this.#drop(following);
  }

  /** Messages after a place, as many as fit one receipt. */
  static slice(messages: readonly StreamMessage[], low: number, after: number, most: number): StreamMessage[] {
    const found: StreamMessage[] = [];
    let size = 0;
    for (let i = Math.max(0, after - low); i < messages.length && found.length < most && size < 1024 * 1024; i += 1) {
      found.push(messages[i]!);
      size += messages[i]!.payload.length + 64;
    }
    return found;
  }

  #batch(following: Following, stream: string): StreamBatch | undefined {
    const at = following.streams.get(stream);
    const log = this.#state.streams.get(stream);
    if (at === undefined || log === undefined || at.birth !== log.birth || at.sent >= log.head) return undefined;
    const messages = Follows.slice(log.messages, log.low, at.sent, Follows.mostMessages);
    const prev = (messages[0]?.seq ?? log.head + 1) - 1;
    at.sent = messages.at(-1)?.seq ?? log.head;
    return create(StreamBatchSchema, { stream, birth: log.birth, prev, messages });
  }

  #send(following: Following, batches: StreamBatch[]): void {
    following.number += 1;
    this.#node.exchange.tell(following.edge, {
      case: "push",
      value: { shard: this.#shard, epoch: this.#epoch, follow: following.follow, number: following.number, batches },
    });
  }

  #drop(following: Following): void {
    this.#follows.delete(following.follow);
    for (const stream of following.streams.keys()) {
      const followers = this.#byStream.get(stream);
      followers?.delete(following);
      if (followers?.size === 0) this.#byStream.delete(stream);
    }
  }
}
