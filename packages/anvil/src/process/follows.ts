import { create } from "@bufbuild/protobuf";
import {
  TopicBatchSchema,
  type Follow,
  type TopicBatch,
  type TopicHead,
  type TopicMessage,
} from "@cranetrack/chest/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { ShardState } from "../mark/shardState.js";

interface Following {
  readonly follow: string;
  readonly edge: string;
  readonly topics: Map<string, { birth: string; sent: number }>;
  number: number;
  heardAt: number;
}

/**
 * Which edges follow which topics of one held shard. Pushes are numbered a follow; what an edge misses
 * it sees by the numbers and asks for.
 * Invariant: only committed messages are pushed, each topic's in order.
 */
export class Follows {
  static readonly mostMessages = 200;
  static readonly silentMs = 6000;

  readonly #node: ClusterNode;
  readonly #state: ShardState;
  readonly #shard: number;
  readonly #epoch: number;
  readonly #follows = new Map<string, Following>();
  readonly #byTopic = new Map<string, Set<Following>>();

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

  /** Enrols topics and returns their heads and the number the next push follows on. */
  enrol(follow: Follow, edge: string): { heads: TopicHead[]; number: number } {
    let following = this.#follows.get(follow.follow);
    if (follow.isFull || following === undefined) {
      for (const old of [...this.#follows.values()]) if (old.edge === edge) this.#drop(old);
      following = { follow: follow.follow, edge, topics: new Map(), number: 0, heardAt: 0 };
      this.#follows.set(follow.follow, following);
    }
    following.heardAt = this.#node.parts.clock.now();
    const heads: TopicHead[] = [];
    for (const { topic, birth, after } of follow.topics) {
      const log = this.#state.topics.get(topic);
      if (log === undefined) continue;
      const sent = birth === log.birth ? Math.max(after, log.low) : log.head;
      following.topics.set(topic, { birth: log.birth, sent });
      let followers = this.#byTopic.get(topic);
      if (followers === undefined) this.#byTopic.set(topic, (followers = new Set()));
      followers.add(following);
      heads.push({ topic, birth: log.birth, head: log.head, low: log.low, fault: "" } as TopicHead);
    }
    return { heads, number: following.number };
  }

  /** Sends whatever each follower of these topics has not been sent. */
  push(topics: Iterable<string>): void {
    const batches = new Map<Following, TopicBatch[]>();
    for (const topic of topics) {
      for (const following of this.#byTopic.get(topic) ?? []) {
        const batch = this.#batch(following, topic);
        if (batch === undefined) continue;
        const list = batches.get(following);
        if (list === undefined) batches.set(following, [batch]);
        else list.push(batch);
      }
    }
    for (const [following, list] of batches) this.#send(following, list);
  }

  /** Tells the followers of topics that no plan owes any more. */
  end(topics: Iterable<string>): void {
    for (const topic of topics) {
      for (const following of this.#byTopic.get(topic) ?? []) {
        following.topics.delete(topic);
        this.#send(following, [create(TopicBatchSchema, { topic, fault: "topic-gone" })]);
      }
      this.#byTopic.delete(topic);
    }
  }

  forgetSilent(): void {
    const now = this.#node.parts.clock.now();
    for (const following of [...this.#follows.values()])
      if (now - following.heardAt > Follows.silentMs) this.#drop(following);
  }

  /** Messages after a place, as many as fit one receipt. */
  static slice(messages: readonly TopicMessage[], low: number, after: number, most: number): TopicMessage[] {
    const found: TopicMessage[] = [];
    let size = 0;
    for (let i = Math.max(0, after - low); i < messages.length && found.length < most && size < 1024 * 1024; i += 1) {
      found.push(messages[i]!);
      size += messages[i]!.payload.length + 64;
    }
    return found;
  }

  #batch(following: Following, topic: string): TopicBatch | undefined {
    const at = following.topics.get(topic);
    const log = this.#state.topics.get(topic);
    if (at === undefined || log === undefined || at.birth !== log.birth || at.sent >= log.head) return undefined;
    const messages = Follows.slice(log.messages, log.low, at.sent, Follows.mostMessages);
    const prev = (messages[0]?.seq ?? log.head + 1) - 1;
    at.sent = messages.at(-1)?.seq ?? log.head;
    return create(TopicBatchSchema, { topic, birth: log.birth, prev, messages });
  }

  #send(following: Following, batches: TopicBatch[]): void {
    following.number += 1;
    this.#node.exchange.tell(following.edge, {
      case: "push",
      value: { shard: this.#shard, epoch: this.#epoch, follow: following.follow, number: following.number, batches },
    });
  }

  #drop(following: Following): void {
    this.#follows.delete(following.follow);
    for (const topic of following.topics.keys()) {
      const followers = this.#byTopic.get(topic);
      followers?.delete(following);
      if (followers?.size === 0) this.#byTopic.delete(topic);
    }
  }
}
