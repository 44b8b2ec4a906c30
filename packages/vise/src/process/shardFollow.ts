import type { Push, TopicHead, TopicMessage } from "@cranetrack/chest/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { TopicTail } from "./topicTail.js";

/**
 * This edge's following of one shard's topics at whoever holds the shard.
 * Invariants: a push counts only in its number's turn; `#seen` is the last number counted; anything else
 * makes the edge follow again, in full, from what it has.
 */
export class ShardFollow {
  static readonly beatMs = 500;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #topics = new Map<string, TopicTail>();
  readonly #asked = new Set<TopicTail>();
  #follow = "";
  #epoch = 0;
  #seen = 0;
  #isAsking = false;
  #isStale = true;
  /** Rises when the holder changes; a receipt of an earlier turn is not heeded. */
  #turn = 0;

  constructor(node: ClusterNode, shard: number) {
    this.#node = node;
    this.#shard = shard;
  }

  get isIdle(): boolean {
    return this.#topics.size === 0;
  }

  get holder(): string {
    return this.#node.shards.find(this.#shard).holder;
  }

  add(tail: TopicTail): void {
    this.#topics.set(tail.topic, tail);
    this.#asked.add(tail);
    this.#node.parts.clock.once(0, () => void this.tend());
  }

  remove(tail: TopicTail): void {
    this.#topics.delete(tail.topic);
    this.#asked.delete(tail);
  }

  /** The shard may have another holder now. */
  moved(): void {
    const route = this.#node.shards.find(this.#shard);
    if (route.holder === "" || route.epoch === this.#epoch) return;
    this.#isStale = true;
    // Whatever the old holder was asked has no use any more.
    this.#isAsking = false;
    this.#turn += 1;
    void this.tend();
  }

  /** Asks the holder for what is missing; nothing to do where nothing is. */
  async tend(): Promise<void> {
    if (this.#isAsking || this.isIdle || this.holder === "") return;
    if (!this.#isStale && this.#asked.size === 0) return;
    this.#isAsking = true;
    const isFull = this.#isStale;
    const wanted = isFull ? [...this.#topics.values()] : [...this.#asked];
    if (isFull) this.#follow = `${this.#node.exchange.name}/${this.#node.parts.chance.identity().slice(0, 8)}`;
    const topics = wanted.map((tail) => ({ topic: tail.topic, birth: tail.birth, after: tail.head }));
    const follow = this.#follow;
    const turn = this.#turn;
    const receipt = await this.#node.exchange.call(
      this.holder,
      { case: "follow", value: { shard: this.#shard, follow, seen: this.#seen, isFull, topics } },
      800,
    );
    if (turn !== this.#turn) return;
    this.#isAsking = false;
    if (receipt?.case !== "followReceipt" || receipt.value.outcome !== "done") {
      this.#isStale = true;
      for (const tail of wanted) tail.away();
      return;
    }
    if (isFull) {
      this.#isStale = false;
      this.#epoch = receipt.value.epoch;
      this.#seen = receipt.value.number;
    }
    for (const tail of wanted) this.#asked.delete(tail);
    for (const head of receipt.value.heads) this.#learn(head);
    if (this.#asked.size > 0) void this.tend();
  }

  /** Asks whether all pushes were seen; the answer to a lost last push. */
  async beat(): Promise<void> {
    if (this.isIdle) return;
    if (this.#isStale || this.#asked.size > 0) return this.tend();
    const follow = this.#follow;
    const seen = this.#seen;
    const receipt = await this.#node.exchange.call(
      this.holder,
      { case: "follow", value: { shard: this.#shard, follow, seen, isFull: false } },
      700,
    );
    const isGood = receipt?.case === "followReceipt" && receipt.value.outcome === "done";
    if (
      isGood ||
      follow !== this.#follow ||
      (receipt?.case === "followReceipt" && receipt.value.outcome === "resync" && this.#seen !== seen)
    )
      return;
    this.#isStale = true;
    await this.tend();
  }

  take(push: Push): void {
    if (push.follow !== this.#follow || this.#isStale) return;
    if (push.number !== this.#seen + 1) {
      if (push.number <= this.#seen) return;
      this.#isStale = true;
      return void this.tend();
    }
    this.#seen = push.number;
    for (const batch of push.batches) {
      const tail = this.#topics.get(batch.topic);
      if (tail === undefined) continue;
      if (batch.fault !== "") tail.end(batch.fault);
      else tail.extend(batch.birth, batch.messages);
    }
  }

  /** Messages after a place that the tail no longer has; undefined where the holder can't be asked now. */
  async fetch(
    topic: string,
    birth: string,
    after: number,
  ): Promise<{ outcome: string; low: number; birth: string; messages: TopicMessage[] } | undefined> {
    if (this.holder === "") return undefined;
    const receipt = await this.#node.exchange.call(
      this.holder,
      { case: "fetch", value: { shard: this.#shard, topic, birth, after, limit: 500 } },
      800,
    );
    if (receipt?.case !== "fetchReceipt" || receipt.value.outcome === "away") return undefined;
    return {
      outcome: receipt.value.outcome,
      low: receipt.value.low,
      birth: receipt.value.batch?.birth ?? birth,
      messages: receipt.value.batch?.messages ?? [],
    };
  }

  #learn(head: TopicHead): void {
    const tail = this.#topics.get(head.topic);
    if (tail === undefined) return;
    if (head.fault !== "") tail.end(head.fault);
    else tail.learn(head.birth, head.head, head.low);
  }
}
