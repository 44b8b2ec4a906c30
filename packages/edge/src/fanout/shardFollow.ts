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
import { fetchMessages, type FetchResult } from "./fetchMessages.js";
import { NumberedPushes } from "./numberedPushes.js";
import type { StreamTail } from "./streamTail.js";
import { viewOf } from "./viewOf.js";

/** A follow request or its heartbeat, as it is sent. */
export type FollowInit = MessageInitShape<typeof FollowSchema>;
/** Returns the number of this edge's subscribers for each topic of a stream. */
export type CountsOf = (stream: string) => ReadonlyMap<string, number>;

/**
 * Follows the streams of one shard at the shard's leader, which pushes their new messages to this edge.
 * Invariant: a push counts only if it has the next number (`NumberedPushes`); after a gap the edge follows all streams
 * again, each from the last message that it has.
 */
export class ShardFollow {
  /** Milliseconds between two heartbeats. */
  static readonly tickIntervalMs = 500;
  /** Milliseconds that a leader or replica has to answer a follow request. */
  static readonly followTimeoutMs = 800;
  /** Milliseconds that a node has to answer heartbeats. */
  static readonly heartbeatTimeoutMs = 700;
  /** Milliseconds until a failed follow request is repeated. */
  static readonly retryDelayMs = 60;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #streams = new Map<string, StreamTail>();
  /** Streams to ask the leader for in the next request. */
  readonly #toRequest = new Set<StreamTail>();
  readonly #countsOf: CountsOf;
  /** By stream, the topics whose subscriber count has changed since it was last sent to the leader. */
  readonly #changedCounts = new Map<StreamTail, Set<string>>();
  /** Streams that this edge no longer needs and that the leader still pushes. */
  readonly #unfollowed = new Set<string>();
  /** Streams that a replica has begun to serve; the leader is still to be told not to push them. */
  readonly #servedByReplica = new Set<StreamTail>();
  /**
   * Limits how many count updates are sent to leaders at once, for all shards of this edge together. The others wait
   * for a heartbeat.
   */
  readonly #countUpdates: Pick<TokenBucket, "take">;
  /** The last index of the shard's log that the leader had applied when it last answered a heartbeat. */
  appliedIndex = 0;
  #isSendingCounts = false;
  readonly #pushes = new NumberedPushes();
  /** Epoch of the leader that answered the last full follow. */
  #epoch = 0;
  /** Rises with each request, so that the leader can tell their order. */
  #serial = 0;
  #isRequestPending = false;
  /** The next request must ask for all streams, as a new follow. */
  #needsFullFollow = true;
  /** Rises when the leader changes; replies to requests of an earlier turn are ignored. */
  #leaderTurn = 0;

  constructor(node: ClusterNode, shard: number, countsOf: CountsOf, countUpdates: Pick<TokenBucket, "take">) {
    this.#node = node;
    this.#shard = shard;
    this.#countsOf = countsOf;
    this.#countUpdates = countUpdates;
  }

  /** Whether no stream is followed. */
  get isIdle(): boolean {
    return this.#streams.size === 0;
  }

  /** The shard's leader as far as this node knows; empty if there is none. */
  get leader(): string {
    return this.#node.shards.find(this.#shard).leader;
  }

  /** Follows the stream after the tail's head; the request is sent in the next turn of the event loop. */
  add(tail: StreamTail): void {
    this.#streams.set(tail.stream, tail);
    this.#unfollowed.delete(tail.stream);
    this.#toRequest.add(tail);
    this.#node.parts.clock.once(0, () => void this.reconcile());
  }

  /** Stops following the stream; the leader is told with the next heartbeat. */
  remove(tail: StreamTail): void {
    if (this.#streams.get(tail.stream) === tail) {
      this.#streams.delete(tail.stream);
      this.#unfollowed.add(tail.stream);
    }
    this.#toRequest.delete(tail);
    this.#changedCounts.delete(tail);
    this.#servedByReplica.delete(tail);
  }

  /** A replica serves the stream: the next heartbeat tells the leader to stop pushing it. */
  onServedByReplica(tail: StreamTail): void {
    if (this.#streams.get(tail.stream) === tail) this.#servedByReplica.add(tail);
  }

  /**
   * A topic's number of subscribers has changed. The leader is notified at once, or right after the update in progress;
   * if many counts change, as when many clients connect at once, with the next heartbeat.
   */
  countChanged(tail: StreamTail, topic: string): void {
    if (this.#streams.get(tail.stream) !== tail) return;
    let topics = this.#changedCounts.get(tail);
    if (topics === undefined) this.#changedCounts.set(tail, (topics = new Set()));
    topics.add(topic);
    if (this.#isSendingCounts || !this.#countUpdates.take()) return;
    this.#isSendingCounts = true;
    this.#node.parts.clock.once(0, () => void this.#sendCounts());
  }

  /** The shard's route has changed: if it has another leader, follows all streams there. */
  onRouteChanged(): void {
    const route = this.#node.shards.find(this.#shard);
    if (route.leader === "" || route.epoch === this.#epoch) return;
    this.#needsFullFollow = true;
    // A reply of the old leader is no longer of use.
    this.#isRequestPending = false;
    this.#leaderTurn += 1;
    void this.reconcile();
  }

  /** Asks the leader for the streams that are still to be requested, if there are any. */
  async reconcile(): Promise<void> {
    if (this.#isRequestPending || this.isIdle || this.leader === "") return;
    if (!this.#needsFullFollow && this.#toRequest.size === 0) return;
    this.#isRequestPending = true;
    const isFull = this.#needsFullFollow;
    const wanted = isFull ? [...this.#streams.values()] : [...this.#toRequest];
    const streams = wanted.map((tail) => this.#streamAt(tail));
    if (isFull) {
      this.#unfollowed.clear();
      this.#pushes.begin(`${this.#node.rpc.name}/${this.#node.parts.random.identity().slice(0, 8)}`);
    }
    // A stream that is added again while this request is in progress is requested again.
    for (const tail of wanted) this.#toRequest.delete(tail);
    const { follow, seen } = this.#pushes;
    const turn = this.#leaderTurn;
    const reply = await this.#node.rpc.call(
      this.leader,
      {
        case: "follow",
        value: { shard: this.#shard, follow, seen, isFull, streams, serial: ++this.#serial },
      },
      ShardFollow.followTimeoutMs,
    );
    if (turn !== this.#leaderTurn) return;
    this.#isRequestPending = false;
    const isDone = reply?.case === "followReply" && reply.value.outcome === "done";
    const early = this.#pushes.onFollowReply(isFull && isDone ? reply.value.number : undefined);
    if (!isDone) {
      this.#needsFullFollow = true;
      for (const tail of wanted) if (this.#streams.has(tail.stream)) this.#toRequest.add(tail);
      // A leader that has just claimed the shard soon serves it; waiting for the next heartbeat would take too long.
      this.#node.parts.clock.once(ShardFollow.retryDelayMs, () => void this.reconcile());
      return;
    }
    if (isFull) {
      this.#needsFullFollow = false;
      this.#epoch = reply.value.epoch;
    }
    for (const head of reply.value.heads) this.#onHead(head);
    for (const push of early) this.receive(push);
    // Sends the counts that changed while the request was in progress.
    if (!this.#isSendingCounts && this.#changedCounts.size > 0 && this.#countUpdates.take()) {
      this.#isSendingCounts = true;
      void this.#sendCounts();
    }
    if (this.#toRequest.size > 0) void this.reconcile();
    // Either this node or the leader has yet to receive the newest configuration: asks again with the next heartbeat.
    for (const { fault, stream } of reply.value.heads) {
      const tail = this.#streams.get(stream);
      if (fault === "behind" && tail !== undefined) this.#toRequest.add(tail);
    }
  }

  /**
   * The heartbeat to send now, with changed counts and streams no longer followed. By it the leader detects that the
   * last push was lost, which no later push would reveal. Undefined if nothing is followed or a follow request has to
   * be sent first.
   */
  heartbeat(): FollowInit | undefined {
    if (this.isIdle && this.#unfollowed.size === 0) return undefined;
    if (this.#isRequestPending || this.#needsFullFollow || this.#toRequest.size > 0) return void this.reconcile();
    const counts = [...this.#changedCounts].flatMap(([tail, topics]) => {
      const present = this.#countsOf(tail.stream);
      return [...topics].map((topic): MessageInitShape<typeof TopicCountSchema> => {
        return { stream: tail.stream, topic: tail.isWhole ? topic : "", count: present.get(topic) ?? 0 };
      });
    });
    const left = [...this.#unfollowed];
    const quiet = [...this.#servedByReplica]
      .filter((tail) => tail.replicaIncarnation === tail.incarnation)
      .map(({ stream, incarnation }) => ({ stream, incarnation }));
    this.#servedByReplica.clear();
    this.#changedCounts.clear();
    this.#unfollowed.clear();
    const serial = ++this.#serial;
    const { follow, seen } = this.#pushes;
    return { shard: this.#shard, follow, seen, isFull: false, counts, left, quiet, serial };
  }

  /** Handles the leader's reply to a heartbeat; `outcome` is undefined if there was none. */
  async onHeartbeatOutcome(heartbeat: FollowInit, outcome: string | undefined): Promise<void> {
    const { follow, seen } = this.#pushes;
    if (outcome === "done" || heartbeat.follow !== follow || (outcome === "resync" && seen !== heartbeat.seen)) return;
    this.#needsFullFollow = true;
    await this.reconcile();
  }

  /** Handles a push of the leader; after a gap all streams are followed again. */
  receive(push: Push): void {
    const order = this.#pushes.receive(push);
    if (order === "gap" && !this.#needsFullFollow) {
      this.#needsFullFollow = true;
      return void this.reconcile();
    }
    if (order !== "next" || this.#needsFullFollow) return;
    for (const batch of push.batches) {
      const tail = this.#streams.get(batch.stream);
      if (tail === undefined) continue;
      if (batch.fault !== "") tail.end(batch.fault);
      else if (tail.isConfirmed && tail.incarnation === batch.incarnation)
        tail.extend(batch.incarnation, batch.messages);
      // The push arrived before the reply that confirms the stream, and is counted already: asks for the stream again,
      // as the push is not repeated.
      else this.add(tail);
    }
  }

  /** Fetches messages that the tail no longer has from the leader; undefined if it can't be asked now. */
  fetch(stream: string, incarnation: string, after: number): Promise<FetchResult | undefined> {
    return fetchMessages(this.#node, this.leader, { shard: this.#shard, stream, incarnation, after });
  }

  /** Sends changed counts one update at a time, so that an older count never arrives after a newer one. */
  async #sendCounts(): Promise<void> {
    while (this.#changedCounts.size > 0) {
      const heartbeat = this.#isRequestPending || this.#needsFullFollow ? undefined : this.heartbeat();
      if (heartbeat === undefined) break;
      const reply = await this.#node.rpc.call(
        this.leader,
        { case: "follow", value: heartbeat },
        ShardFollow.heartbeatTimeoutMs,
      );
      await this.onHeartbeatOutcome(heartbeat, reply?.case === "followReply" ? reply.value.outcome : undefined);
    }
    this.#isSendingCounts = false;
  }

  /** The part of a request that asks for one stream after its head. */
  #streamAt(tail: StreamTail): MessageInitShape<typeof StreamAtSchema> {
    const { route, incarnation, head, isWhole } = tail;
    const { stream } = route;
    const present = [...this.#countsOf(stream)];
    this.#changedCounts.delete(tail);
    const isQuiet = incarnation !== "" && tail.replicaIncarnation === incarnation;
    this.#servedByReplica.delete(tail);
    const at = { stream, incarnation, after: head, isQuiet, ...viewOf(this.#node, route) };
    return isWhole
      ? { ...at, counts: present.map(([topic, count]) => ({ topic, count })) }
      : { ...at, count: present[0]?.[1] ?? 0 };
  }

  /** Handles the part of a reply that confirms one stream, or says why the leader does not have it. */
  #onHead(head: StreamHead): void {
    const tail = this.#streams.get(head.stream);
    if (tail === undefined) return;
    if (head.fault === "behind") return;
    if (head.fault !== "") tail.end(head.fault);
    else tail.confirmHead(head.incarnation, head.from, head.low);
  }
}
