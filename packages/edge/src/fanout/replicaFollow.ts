import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import { fetchMessages, type FetchResult } from "./fetchMessages.js";
import { NumberedPushes } from "./numberedPushes.js";
import { ShardFollow, type FollowInit } from "./shardFollow.js";
import type { StreamTail } from "./streamTail.js";
import { viewOf } from "./viewOf.js";

/**
 * Follows the stored streams of one shard at a replica in this edge's region, in addition to the follow at the leader
 * (`ShardFollow`), which still confirms heads, incarnations and faults but pushes no messages meanwhile.
 * Invariants: the replica serves a stream only in the incarnation that the leader has confirmed, after the head that
 * this edge has; at the first sign of a fault the whole follow ends and the leader pushes again, after that head.
 */
export class ReplicaFollow {
  /** Milliseconds until a failed replica follow is retried; doubled with each failure in quick succession. */
  static readonly retryDelayMs = 2000;
  /** The longest delay in milliseconds before a retry. */
  static readonly maxRetryDelayMs = 16_000;
  /** Milliseconds of service after which the next failure starts again with `retryDelayMs`. */
  static readonly provenAfterMs = 10_000;
  /** Milliseconds until a stream is requested again that the replica lacked in the leader's incarnation. */
  static readonly streamRetryDelayMs = 400;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #leaderFollow: ShardFollow;
  readonly #tails = new Map<string, StreamTail>();
  /** Streams that the replica lacked, and when to request them again, in milliseconds of the monotonic clock. */
  readonly #streamRetryAt = new Map<StreamTail, number>();
  /** Streams that this edge no longer needs and that the replica still pushes. */
  readonly #unfollowed = new Set<string>();
  /** The replica that is followed; empty if there is none. */
  #server = "";
  readonly #pushes = new NumberedPushes();
  #serial = 0;
  #isRequestPending = false;
  #followedSince = 0;
  /** Time of the monotonic clock in milliseconds before which no replica is tried. */
  #retryAt = 0;
  #nextRetryDelayMs = ReplicaFollow.retryDelayMs;
  /** Rises when a follow ends; replies to requests of an earlier turn are ignored. */
  #followTurn = 0;

  constructor(node: ClusterNode, shard: number, leaderFollow: ShardFollow) {
    this.#node = node;
    this.#shard = shard;
    this.#leaderFollow = leaderFollow;
  }

  /** The replica that this edge follows now; empty if there is none. */
  get server(): string {
    return this.#server;
  }

  /** Follows the stream at the replica as soon as its leader has confirmed it, provided that it is stored. */
  add(tail: StreamTail): void {
    this.#tails.set(tail.stream, tail);
    this.#unfollowed.delete(tail.stream);
  }

  /** Stops following the stream; the replica is told with the next heartbeat. */
  remove(tail: StreamTail): void {
    if (this.#tails.get(tail.stream) === tail) {
      this.#tails.delete(tail.stream);
      if (tail.replicaIncarnation !== "") this.#unfollowed.add(tail.stream);
    }
    this.#streamRetryAt.delete(tail);
    tail.replicaIncarnation = "";
  }

  /** Makes the leader push the stream again. */
  returnToLeader(tail: StreamTail): void {
    if (tail.replicaIncarnation === "") return;
    tail.replicaIncarnation = "";
    this.#unfollowed.add(tail.stream);
    this.#leaderFollow.add(tail);
  }

  /** Follows the streams that the leader has confirmed and the replica does not serve yet. Runs at each heartbeat. */
  async reconcile(): Promise<void> {
    const replica = this.#chooseReplica();
    if (this.#server !== "" && this.#server !== replica) this.#leave();
    const now = this.#now();
    if (this.#isRequestPending || replica === "" || now < this.#retryAt) return;
    const wanted = [...this.#tails.values()].filter((tail) => this.#shouldFollow(tail, now));
    if (wanted.length === 0) return;
    const isFull = this.#pushes.follow === "";
    if (isFull) {
      this.#server = replica;
      this.#pushes.begin(`${this.#node.rpc.name}/${this.#node.parts.random.identity().slice(0, 8)}`);
      this.#followedSince = now;
    }
    this.#isRequestPending = true;
    const turn = this.#followTurn;
    const streams = wanted.map(({ route, incarnation, head }) => {
      const { stream } = route;
      this.#unfollowed.delete(stream);
      return { stream, incarnation, after: head, ...viewOf(this.#node, route) };
    });
    const value = {
      shard: this.#shard,
      follow: this.#pushes.follow,
      seen: this.#pushes.seen,
      isFull,
      streams,
      isAtReplica: true,
      serial: ++this.#serial,
    };
    const reply = await this.#node.rpc.call(replica, { case: "follow", value }, ShardFollow.followTimeoutMs);
    if (turn !== this.#followTurn) return;
    this.#isRequestPending = false;
    if (reply?.case !== "followReply" || reply.value.outcome !== "done") return this.fail();
    for (const { stream, incarnation, from, fault } of reply.value.heads) {
      const tail = this.#tails.get(stream);
      if (tail === undefined) continue;
      if (fault !== "" || !tail.isConfirmed || tail.incarnation !== incarnation)
        this.#streamRetryAt.set(tail, this.#now() + ReplicaFollow.streamRetryDelayMs);
      else {
        tail.replicaIncarnation = incarnation;
        // If this edge is far behind the replica, the replica pushes only from its own head on.
        if (from > tail.head) tail.confirmHead(incarnation, from, 0);
        this.#leaderFollow.onServedByReplica(tail);
      }
    }
    const early = this.#pushes.onFollowReply(isFull ? reply.value.number : undefined);
    for (const push of early) this.receive(push);
    void this.reconcile();
  }

  /** The heartbeat to send now, by which the replica detects lost pushes; undefined if there is none to send. */
  heartbeat(): FollowInit | undefined {
    void this.reconcile();
    const { follow, seen } = this.#pushes;
    if (follow === "" || this.#isRequestPending) return undefined;
    if (this.#tails.size === 0 && this.#unfollowed.size === 0) return void this.#leave();
    const left = [...this.#unfollowed];
    this.#unfollowed.clear();
    const serial = ++this.#serial;
    return { shard: this.#shard, follow, seen, isFull: false, left, isAtReplica: true, serial };
  }

  /**
   * Handles the replica's reply to a heartbeat. `outcome` is undefined if there was none; `applied` is the last index
   * that the replica has applied, `appliedAtLeader` the one that the leader had applied before the heartbeat was sent.
   */
  onHeartbeatOutcome(
    heartbeat: FollowInit,
    outcome: string | undefined,
    applied: number,
    appliedAtLeader: number,
  ): void {
    const { follow, seen } = this.#pushes;
    if (heartbeat.follow !== follow || (outcome === "resync" && seen !== heartbeat.seen)) return;
    if (outcome !== "done" || applied < appliedAtLeader) this.fail();
  }

  /** Handles a push of the replica. A gap, or an unavailable replica, ends the whole follow. */
  receive(push: Push): void {
    if (push.follow === this.#pushes.follow && push.isUnavailable) return this.fail();
    const order = this.#pushes.receive(push);
    if (order === "gap") return this.fail();
    if (order !== "next") return;
    for (const batch of push.batches) {
      const tail = this.#tails.get(batch.stream);
      if (tail === undefined) continue;
      if (batch.fault === "" && tail.isConfirmed && tail.incarnation === batch.incarnation)
        tail.extend(batch.incarnation, batch.messages);
      else this.returnToLeader(tail);
    }
  }

  /** Like `ShardFollow.fetch`, but from the replica, whose log may be behind the leader's. */
  fetch(stream: string, incarnation: string, after: number): Promise<FetchResult | undefined> {
    const fetch = { shard: this.#shard, stream, incarnation, after, isAtReplica: true };
    return fetchMessages(this.#node, this.#server, fetch);
  }

  /** Ends the follow at the replica; it is retried after a delay. */
  fail(): void {
    const now = this.#now();
    if (now - this.#followedSince > ReplicaFollow.provenAfterMs) this.#nextRetryDelayMs = ReplicaFollow.retryDelayMs;
    this.#retryAt = now + this.#nextRetryDelayMs;
    this.#nextRetryDelayMs = Math.min(2 * this.#nextRetryDelayMs, ReplicaFollow.maxRetryDelayMs);
    this.#leave();
  }

  /** Ends the follow and makes the leader push its streams again. */
  #leave(): void {
    this.#followTurn += 1;
    this.#server = "";
    this.#pushes.end();
    this.#isRequestPending = false;
    for (const tail of this.#tails.values()) this.returnToLeader(tail);
    this.#unfollowed.clear();
  }

  #shouldFollow(tail: StreamTail, now: number): boolean {
    const isServable = tail.isConfirmed && !tail.keepsNothing && tail.replicaIncarnation !== tail.incarnation;
    return isServable && now >= (this.#streamRetryAt.get(tail) ?? 0);
  }

  /**
   * Chooses the replica to follow, in this edge's region (or zone, if no regions are configured). Empty if there is
   * none or if the leader is in the same region.
   */
  #chooseReplica(): string {
    const { shards, membership, rpc } = this.#node;
    const { leader, set } = shards.find(this.#shard);
    const ownArea = membership.self.region || membership.self.zone;
    const nearby = (set?.members ?? [])
      .filter(({ name, zone }) => (membership.find(name)?.region || zone) === ownArea)
      .map(({ name }) => name);
    if (leader === "" || nearby.includes(leader)) return "";
    const alive = nearby.filter((name) => membership.isAlive(name) && !rpc.isUnresponsive(name));
    return Rendezvous.rank(RendezvousKeys.nearbyReplica(rpc.name), alive)[0] ?? "";
  }

  #now(): number {
    return this.#node.parts.clock.now();
  }
}
