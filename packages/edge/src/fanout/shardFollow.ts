import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  FollowSchema,
  Push,
  StreamAtSchema,
  StreamHead,
  TopicCountSchema,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { TokenBucket } from "@cranetrack/core/runtime/tokenBucket.js";
import { fetchMessages, type Fetched } from "./fetchMessages.js";
import { NumberedPushes } from "./numberedPushes.js";
import type { StreamTail } from "./streamTail.js";
import { viewOf } from "./viewOf.js";

/** A follow or its heartbeat, as it is sent. */
export type FollowInit = MessageInitShape<typeof FollowSchema>;
/** This edge's subscribers of a stream's topics. */
export type CountsOf = (stream: string) => ReadonlyMap<string, number>;

/**
 * This edge's following of one shard's streams at the shard's leader.
 * Invariants: a push counts only in its number's turn (`NumberedPushes`); anything else
 * makes the edge follow again, in full, from what it has.
 */
export class ShardFollow {
  static readonly tickIntervalMs = 500;
  static readonly retryDelayMs = 60;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #streams = new Map<string, StreamTail>();
  readonly #asked = new Set<StreamTail>();
  readonly #countsOf: CountsOf;
  /** Topics whose counts the leader does not have yet, by stream. */
  readonly #counted = new Map<StreamTail, Set<string>>();
  /** Streams that nobody here needs any more and that the leader still pushes. */
  readonly #left = new Set<string>();
  /** Served by a replica since a moment ago: the leader need not push them. */
  readonly #suppressed = new Set<StreamTail>();
  /** How often counts go to leaders at once, all shards of this edge together; others wait for a heartbeat. */
  readonly #countUpdates: Pick<TokenBucket, "take">;
  /** Up to which index the leader had applied the shard's log when it last answered a heartbeat. */
  applied = 0;
  #isSendingCounts = false;
  readonly #pushes = new NumberedPushes();
  #epoch = 0;
  #serial = 0;
  #isAsking = false;
  #isStale = true;
  /** Rises when the leader changes; a reply to an earlier turn is ignored. */
  #turn = 0;

  constructor(node: ClusterNode, shard: number, countsOf: CountsOf, countUpdates: Pick<TokenBucket, "take">) {
    this.#node = node;
    this.#shard = shard;
    this.#countsOf = countsOf;
    this.#countUpdates = countUpdates;
  }

  /** Nothing is followed. */
  get isIdle(): boolean {
    return this.#streams.size === 0;
  }

  /** The shard's leader as this node knows it; empty where there is none. */
  get leader(): string {
    return this.#node.shards.find(this.#shard).leader;
  }

  /** Asks the leader for the stream, from the tail's head on, in the next turn of the event loop. */
  add(tail: StreamTail): void {
    this.#streams.set(tail.stream, tail);
    this.#left.delete(tail.stream);
    this.#asked.add(tail);
    this.#node.parts.clock.once(0, () => void this.reconcile());
  }

  /** The stream is followed no more; the leader is told with the next heartbeat. */
  remove(tail: StreamTail): void {
    if (this.#streams.get(tail.stream) === tail) {
      this.#streams.delete(tail.stream);
      this.#left.add(tail.stream);
    }
    this.#asked.delete(tail);
    this.#counted.delete(tail);
    this.#suppressed.delete(tail);
  }

  /** A replica serves the stream: the leader is told with the next heartbeat to push it no more. */
  suppressAtLeader(tail: StreamTail): void {
    if (this.#streams.get(tail.stream) === tail) this.#suppressed.add(tail);
  }

  /**
   * A topic's subscribers have changed: the leader is notified at once or right after the update under way; with the
   * next heartbeat where many counts change, as when a crowd comes.
   */
  countChanged(tail: StreamTail, topic: string): void {
    if (this.#streams.get(tail.stream) !== tail) return;
    let topics = this.#counted.get(tail);
    if (topics === undefined) this.#counted.set(tail, (topics = new Set()));
    topics.add(topic);
    if (this.#isSendingCounts || !this.#countUpdates.take()) return;
    this.#isSendingCounts = true;
    this.#node.parts.clock.once(0, () => void this.#sendCounts());
  }

  /** The shard may have another leader now. */
  moved(): void {
    const route = this.#node.shards.find(this.#shard);
    if (route.leader === "" || route.epoch === this.#epoch) return;
    this.#isStale = true;
    // Whatever the old leader was asked has no use any more.
    this.#isAsking = false;
    this.#turn += 1;
    void this.reconcile();
  }

  /** Asks the leader for what is missing; nothing to do where nothing is. */
  async reconcile(): Promise<void> {
    if (this.#isAsking || this.isIdle || this.leader === "") return;
    if (!this.#isStale && this.#asked.size === 0) return;
    this.#isAsking = true;
    const isFull = this.#isStale;
    const wanted = isFull ? [...this.#streams.values()] : [...this.#asked];
    const streams = wanted.map((tail) => this.#at(tail));
    if (isFull) {
      this.#left.clear();
      this.#pushes.begin(`${this.#node.rpc.name}/${this.#node.parts.random.identity().slice(0, 8)}`);
    }
    // What is asked for again while this is under way stays asked for.
    for (const tail of wanted) this.#asked.delete(tail);
    const { follow, seen } = this.#pushes;
    const turn = this.#turn;
    const reply = await this.#node.rpc.call(
      this.leader,
      {
        case: "follow",
        value: { shard: this.#shard, follow, seen, isFull, streams, serial: ++this.#serial },
      },
      800,
    );
    if (turn !== this.#turn) return;
    this.#isAsking = false;
    const isDone = reply?.case === "followReply" && reply.value.outcome === "done";
    const early = this.#pushes.opened(isFull && isDone ? reply.value.number : undefined);
    if (!isDone) {
      this.#isStale = true;
      for (const tail of wanted) if (this.#streams.has(tail.stream)) this.#asked.add(tail);
      // A leader that has just claimed the shard serves in a moment; the next heartbeat would be late.
      this.#node.parts.clock.once(ShardFollow.retryDelayMs, () => void this.reconcile());
      return;
    }
    if (isFull) {
      this.#isStale = false;
      this.#epoch = reply.value.epoch;
    }
    for (const head of reply.value.heads) this.#onHead(head);
    for (const push of early) this.receive(push);
    // What changed while this was asked.
    if (!this.#isSendingCounts && this.#counted.size > 0 && this.#countUpdates.take()) {
      this.#isSendingCounts = true;
      void this.#sendCounts();
    }
    if (this.#asked.size > 0) void this.reconcile();
    // Who has not heard of the newest configuration, this node or the leader, is given until the next heartbeat.
    for (const { fault, stream } of reply.value.heads) {
      const tail = this.#streams.get(stream);
      if (fault === "behind" && tail !== undefined) this.#asked.add(tail);
    }
  }

  /** What asks whether all pushes were seen, the answer to a lost last push; undefined where there is more to ask. */
  heartbeat(): FollowInit | undefined {
    if (this.isIdle && this.#left.size === 0) return undefined;
    if (this.#isAsking || this.#isStale || this.#asked.size > 0) return void this.reconcile();
    const counts = [...this.#counted].flatMap(([tail, topics]) => {
      const present = this.#countsOf(tail.stream);
      return [...topics].map((topic): MessageInitShape<typeof TopicCountSchema> => {
        return { stream: tail.stream, topic: tail.isWhole ? topic : "", count: present.get(topic) ?? 0 };
      });
    });
    const left = [...this.#left];
    const quiet = [...this.#suppressed]
      .filter((tail) => tail.servedIncarnation === tail.incarnation)
      .map(({ stream, incarnation }) => ({ stream, incarnation }));
    this.#suppressed.clear();
    this.#counted.clear();
    this.#left.clear();
    const serial = ++this.#serial;
    const { follow, seen } = this.#pushes;
    return { shard: this.#shard, follow, seen, isFull: false, counts, left, quiet, serial };
  }

  /** The leader's reply to a heartbeat, if any. */
  async onHeartbeatOutcome(heartbeat: FollowInit, outcome: string | undefined): Promise<void> {
    const { follow, seen } = this.#pushes;
    if (outcome === "done" || heartbeat.follow !== follow || (outcome === "resync" && seen !== heartbeat.seen)) return;
    this.#isStale = true;
    await this.reconcile();
  }

  /** A push of the leader; a gap makes the edge follow anew. */
  receive(push: Push): void {
    const order = this.#pushes.receive(push);
    if (order === "gap" && !this.#isStale) {
      this.#isStale = true;
      return void this.reconcile();
    }
    if (order !== "next" || this.#isStale) return;
    for (const batch of push.batches) {
      const tail = this.#streams.get(batch.stream);
      if (tail === undefined) continue;
      if (batch.fault !== "") tail.end(batch.fault);
      else if (tail.isKnown && tail.incarnation === batch.incarnation) tail.extend(batch.incarnation, batch.messages);
      // Overtook the reply that confirms the stream: it counts as seen, so the stream has to be asked for again.
      else this.add(tail);
    }
  }

  /** Messages after an offset that the tail no longer has; undefined where the leader can't be asked now. */
  fetch(stream: string, incarnation: string, after: number): Promise<Fetched | undefined> {
    return fetchMessages(this.#node, this.leader, { shard: this.#shard, stream, incarnation, after });
  }

  /** One update after the other, so that an older count never arrives behind a newer one. */
  async #sendCounts(): Promise<void> {
    while (this.#counted.size > 0) {
      const heartbeat = this.#isAsking || this.#isStale ? undefined : this.heartbeat();
      if (heartbeat === undefined) break;
      const reply = await this.#node.rpc.call(this.leader, { case: "follow", value: heartbeat }, 700);
      await this.onHeartbeatOutcome(heartbeat, reply?.case === "followReply" ? reply.value.outcome : undefined);
    }
    this.#isSendingCounts = false;
  }

  #at(tail: StreamTail): MessageInitShape<typeof StreamAtSchema> {
    const { route, incarnation, head, isWhole } = tail;
    const { stream } = route;
    const present = [...this.#countsOf(stream)];
    this.#counted.delete(tail);
    const isQuiet = incarnation !== "" && tail.servedIncarnation === incarnation;
    this.#suppressed.delete(tail);
    const at = { stream, incarnation, after: head, isQuiet, ...viewOf(this.#node, route) };
    return isWhole
      ? { ...at, counts: present.map(([topic, count]) => ({ topic, count })) }
      : { ...at, count: present[0]?.[1] ?? 0 };
  }

  #onHead(head: StreamHead): void {
    const tail = this.#streams.get(head.stream);
    if (tail === undefined) return;
    if (head.fault === "behind") return;
    if (head.fault !== "") tail.end(head.fault);
    else tail.onHead(head.incarnation, head.from, head.low);
  }
}
