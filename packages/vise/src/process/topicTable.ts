import { Rendezvous } from "@cranetrack/chest/process/rendezvous.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import { ShardFollow } from "./shardFollow.js";
import { TopicTail } from "./topicTail.js";

/** The topics that this edge's subscriptions need, each followed once. */
export class TopicTable {
  readonly #node: ClusterNode;
  readonly #tails = new Map<string, TopicTail>();
  readonly #follows: ShardFollow[];

  constructor(node: ClusterNode) {
    this.#node = node;
    this.#follows = Array.from({ length: node.parts.settings.shards }, (_, shard) => new ShardFollow(node, shard));
    node.exchange.serve("push", (push) => {
      this.#follows[push.shard]?.take(push);
      return undefined;
    });
    node.shards.on("changed", (shard) => this.#follows[shard]?.moved());
    this.#follows.forEach((follow, shard) => {
      const first = (ShardFollow.beatMs * (shard + 1)) / this.#follows.length;
      node.parts.clock.once(first, () => node.parts.clock.every(ShardFollow.beatMs, () => void follow.beat()));
    });
  }

  get count(): number {
    return this.#tails.size;
  }

  shardOf(topic: string): number {
    return Rendezvous.shardOf(topic, this.#follows.length);
  }

  followOf(shard: number): ShardFollow {
    return this.#follows[shard]!;
  }

  /** Each take is paired with one `leave`. */
  take(topic: string): TopicTail {
    let tail = this.#tails.get(topic);
    if (tail === undefined) {
      tail = new TopicTail(topic, this.shardOf(topic));
      this.#tails.set(topic, tail);
      this.#follows[tail.shard]!.add(tail);
    } else if (!tail.isKnown) this.#follows[tail.shard]!.add(tail);
    tail.users += 1;
    return tail;
  }

  leave(tail: TopicTail): void {
    tail.users -= 1;
    if (tail.users > 0) return;
    this.#node.parts.clock.once(5000, () => {
      if (tail.users > 0 || this.#tails.get(tail.topic) !== tail) return;
      this.#tails.delete(tail.topic);
      this.#follows[tail.shard]!.remove(tail);
    });
  }

  /** Settles with the topic known, or what is wrong; `away` where its holder can't be asked by the due. */
  known(tail: TopicTail, due: number): Promise<"known" | "away" | { fault: string }> {
    if (tail.isKnown) return Promise.resolve("known");
    return new Promise((resolve) => {
      const settle = (outcome: "known" | "away" | { fault: string }): void => {
        beat.stop();
        tail.off("known", known);
        tail.off("ended", ended);
        resolve(outcome);
      };
      const known = (): void => settle("known");
      const ended = (fault: string): void => settle({ fault });
      const beat = this.#node.parts.clock.once(due, () => settle("away"));
      tail.on("known", known);
      tail.on("ended", ended);
    });
  }
}
