import { Rendezvous } from "@cranetrack/chest/process/rendezvous.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { StreamRoute } from "@cranetrack/chest/mark/streams.js";
import { ShardFollow } from "./shardFollow.js";
import { StreamTail } from "./streamTail.js";

/**
 * The streams that this edge's links need, each followed once.
 * Invariant: a stream of an earlier birth of its space is in here only until the last link has left it.
 */
export class StreamTable {
  static readonly lingerMs = 5000;

  readonly #node: ClusterNode;
  readonly #tails = new Map<string, StreamTail>();
  readonly #follows: ShardFollow[];

  constructor(node: ClusterNode) {
    this.#node = node;
    this.#follows = Array.from({ length: node.parts.settings.shards }, (_, shard) => new ShardFollow(node, shard));
    node.exchange.serve("push", (push) => {
      this.#follows[push.shard]?.take(push);
      return undefined;
    });
    node.shards.on("changed", (shard) => this.#follows[shard]?.moved());
    node.plan.on("changed", () => this.#planChanged());
    this.#follows.forEach((follow, shard) => {
      const first = (ShardFollow.beatMs * (shard + 1)) / this.#follows.length;
      node.parts.clock.once(first, () => node.parts.clock.every(ShardFollow.beatMs, () => void follow.beat()));
    });
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

  /** A plan in force that has no such stream, or another birth of its space, ends what was followed of it. */
  #planChanged(): void {
    for (const tail of this.#tails.values()) {
      if (this.#node.plan.spaceBirthOf(tail.stream) === tail.route.spaceBirth) continue;
      this.#follows[tail.shard]!.remove(tail);
      tail.end("topic-gone");
    }
  }

  static #key({ stream, spaceBirth }: StreamRoute): string {
    return `${spaceBirth} ${stream}`;
  }
}
