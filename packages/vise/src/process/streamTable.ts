import { Grouped } from "@cranetrack/chest/process/grouped.js";
import { Rendezvous } from "@cranetrack/chest/process/rendezvous.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { StreamRoute } from "@cranetrack/chest/mark/streams.js";
import { keepsNothing } from "@cranetrack/chest/mark/keepsNothing.js";
import { ShardFollow, type CountsOf, type FollowInit } from "./shardFollow.js";
import { StreamTail } from "./streamTail.js";
import { SubscriberCounts } from "./subscriberCounts.js";

/**
 * The streams that this edge's links need, each followed once.
 * Invariant: a stream of an earlier birth of its space is in here only until the last link has left it.
 */
export class StreamTable {
  static readonly lingerMs = 5000;

  readonly #node: ClusterNode;
  readonly #tails = new Map<string, StreamTail>();
  readonly #follows: ShardFollow[];

  /** Who subscribes to what here; cursors tell it. */
  readonly counts = new SubscriberCounts((tail, topic) => this.#follows[tail.shard]!.countChanged(tail, topic));
  /** What the holders are told; whoever replaces it tells of changes by `countChanged`. */
  countsOf: CountsOf = (stream) => this.counts.of(stream);

  constructor(node: ClusterNode) {
    this.#node = node;
    const countsOf: CountsOf = (stream) => this.countsOf(stream);
    this.#follows = Array.from(
      { length: node.parts.settings.shards },
      (_, shard) => new ShardFollow(node, shard, countsOf),
    );
    node.exchange.serve("push", (push) => {
      this.#follows[push.shard]?.take(push);
      return undefined;
    });
    node.exchange.serve("pushes", ({ pushes }) => {
      for (const push of pushes) this.#follows[push.shard]?.take(push);
      return undefined;
    });
    node.shards.on("changed", (shard) => this.#follows[shard]?.moved());
    node.plan.on("changed", () => this.#planChanged());
    node.parts.clock.every(ShardFollow.beatMs, () => this.#beat());
  }

  get count(): number {
    return this.#tails.size;
  }

  shardOf(stream: string): number {
    return Rendezvous.shardOf(stream, this.#follows.length);
  }

  followOf(shard: number): ShardFollow {
    return this.#follows[shard]!;
  }

  /** Each take is paired with one `leave`. */
  take(route: StreamRoute): StreamTail {
    const key = StreamTable.#key(route);
    let tail = this.#tails.get(key);
    if (tail === undefined) {
      tail = new StreamTail(route, this.shardOf(route.stream));
      tail.keepsNothing = keepsNothing(this.#node.plan.plan, route.stream);
      this.#tails.set(key, tail);
      this.#follows[tail.shard]!.add(tail);
    } else if (!tail.isKnown) this.#follows[tail.shard]!.add(tail);
    tail.users += 1;
    return tail;
  }

  leave(tail: StreamTail): void {
    tail.users -= 1;
    if (tail.users > 0) return;
    this.#node.parts.clock.once(StreamTable.lingerMs, () => {
      const key = StreamTable.#key(tail.route);
      if (tail.users > 0 || this.#tails.get(key) !== tail) return;
      this.#tails.delete(key);
      this.#follows[tail.shard]!.remove(tail);
    });
  }

  /** Resolves once the stream's holder has told of it, or said that it has none, or the due has passed. */
  known(tail: StreamTail, due: number): Promise<void> {
    if (tail.isKnown) return Promise.resolve();
    return new Promise((resolve) => {
      const end = (): void => {
        beat.stop();
        tail.off("grown", end);
        tail.off("ended", end);
        resolve();
      };
      const beat = this.#node.parts.clock.once(due, end);
      tail.on("grown", end);
      tail.on("ended", end);
    });
  }

  /** One call to each holder for all its shards. */
  #beat(): void {
    const due = this.#follows.flatMap((follow) => {
      const beat = follow.holder === "" ? undefined : follow.beat();
      return beat === undefined ? [] : [{ follow, beat }];
    });
    for (const [holder, list] of Grouped.by(due, ({ follow }) => follow.holder)) void this.#beatHolder(holder, list);
  }

  async #beatHolder(holder: string, list: Array<{ follow: ShardFollow; beat: FollowInit }>): Promise<void> {
    const beats = list.map(({ beat }) => beat);
    const receipt = await this.#node.exchange.call(holder, { case: "followBeats", value: { beats } }, 700);
    const outcomes = receipt?.case === "followBeatsReceipt" ? receipt.value.outcomes : [];
    for (const [i, { follow, beat }] of list.entries()) void follow.beaten(beat, outcomes[i]);
  }

  /** A plan in force that has no such stream, or another birth of its space, ends what was followed of it. */
  #planChanged(): void {
    for (const tail of this.#tails.values()) {
      tail.keepsNothing = keepsNothing(this.#node.plan.plan, tail.stream);
      if (this.#node.plan.spaceBirthOf(tail.stream) === tail.route.spaceBirth) continue;
      this.#follows[tail.shard]!.remove(tail);
      tail.end("topic-gone");
    }
  }

  static #key({ stream, spaceBirth }: StreamRoute): string {
    return `${spaceBirth} ${stream}`;
  }
}
