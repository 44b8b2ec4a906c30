import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import { fetchMessages, type Fetched } from "./fetchMessages.js";
import { NumberedPushes } from "./numberedPushes.js";
import type { FollowInit, ShardFollow } from "./shardFollow.js";
import type { StreamTail } from "./streamTail.js";
import { viewOf } from "./viewOf.js";

/**
 * This edge's following of one shard's kept streams at a replica in its own region, beside the leader's, which
 * confirms heads, incarnations and faults and pushes nothing meanwhile.
 * Invariants: a stream is served here only in the incarnation that the leader has confirmed, from the head that this
 * edge has; at the first doubt the whole follow is left and the leader pushes again, from that head on.
 */
export class ReplicaFollow {
  /** Milliseconds until a replica that was left is tried again; doubled each time, unless it had served a while. */
  static readonly retryDelayMs = 2000;
  static readonly maxRepeatMs = 16_000;
  static readonly provenMs = 10_000;
  /** When a stream is asked for again that the replica did not have in its incarnation. */
  static readonly lackedMs = 400;

  readonly #node: ClusterNode;
  readonly #shard: number;
  readonly #atLeader: ShardFollow;
  readonly #tails = new Map<string, StreamTail>();
  readonly #lacked = new Map<StreamTail, number>();
  readonly #left = new Set<string>();
  #server = "";
  readonly #pushes = new NumberedPushes();
  #serial = 0;
  #isAsking = false;
  #since = 0;
  #againAt = 0;
  #waitMs = ReplicaFollow.retryDelayMs;
  /** Rises when a follow is left; a reply to an earlier turn is ignored. */
  #turn = 0;

  constructor(node: ClusterNode, shard: number, atLeader: ShardFollow) {
    this.#node = node;
    this.#shard = shard;
    this.#atLeader = atLeader;
  }

  /** The replica that this edge follows now; empty where none. */
  get server(): string {
    return this.#server;
  }

  /** The stream is followed here as soon as its leader has confirmed it and it is kept. */
  add(tail: StreamTail): void {
    this.#tails.set(tail.stream, tail);
    this.#left.delete(tail.stream);
  }

  /** The stream is followed no more; the replica is told with the next heartbeat. */
  remove(tail: StreamTail): void {
    if (this.#tails.get(tail.stream) === tail) {
      this.#tails.delete(tail.stream);
      if (tail.servedIncarnation !== "") this.#left.add(tail.stream);
    }
    this.#lacked.delete(tail);
    tail.servedIncarnation = "";
  }

  /** From now on the leader pushes the stream again. */
  returnToLeader(tail: StreamTail): void {
    if (tail.servedIncarnation === "") return;
    tail.servedIncarnation = "";
    this.#left.add(tail.stream);
    this.#atLeader.add(tail);
  }

  /** Follows what the leader has confirmed and the replica does not serve yet; asked with each heartbeat. */
  async reconcile(): Promise<void> {
    const near = this.#near();
    if (this.#server !== "" && this.#server !== near) this.#leave();
    const now = this.#now();
    if (this.#isAsking || near === "" || now < this.#againAt) return;
    const wanted = [...this.#tails.values()].filter((tail) => this.#isWanted(tail, now));
    if (wanted.length === 0) return;
    const isFull = this.#pushes.follow === "";
    if (isFull) {
      this.#server = near;
      this.#pushes.begin(`${this.#node.rpc.name}/${this.#node.parts.random.identity().slice(0, 8)}`);
      this.#since = now;
    }
    this.#isAsking = true;
    const turn = this.#turn;
    const streams = wanted.map(({ route, incarnation, head }) => {
      const { stream } = route;
      this.#left.delete(stream);
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
    const reply = await this.#node.rpc.call(near, { case: "follow", value }, 800);
    if (turn !== this.#turn) return;
    this.#isAsking = false;
    if (reply?.case !== "followReply" || reply.value.outcome !== "done") return this.fail();
    for (const { stream, incarnation, from, fault } of reply.value.heads) {
      const tail = this.#tails.get(stream);
      if (tail === undefined) continue;
      if (fault !== "" || !tail.isKnown || tail.incarnation !== incarnation)
        this.#lacked.set(tail, this.#now() + ReplicaFollow.lackedMs);
      else {
        tail.servedIncarnation = incarnation;
        // Where this edge is far behind it, the replica pushes from its own head on.
        if (from > tail.head) tail.onHead(incarnation, from, 0);
        this.#atLeader.suppressAtLeader(tail);
      }
    }
    const early = this.#pushes.opened(isFull ? reply.value.number : undefined);
    for (const push of early) this.receive(push);
    void this.reconcile();
  }

  /** What asks whether all pushes were seen; undefined where nothing is followed here. */
  heartbeat(): FollowInit | undefined {
    void this.reconcile();
    const { follow, seen } = this.#pushes;
    if (follow === "" || this.#isAsking) return undefined;
    if (this.#tails.size === 0 && this.#left.size === 0) return void this.#leave();
    const left = [...this.#left];
    this.#left.clear();
    const serial = ++this.#serial;
    return { shard: this.#shard, follow, seen, isFull: false, left, isAtReplica: true, serial };
  }

  /** The replica's reply to a heartbeat, if any, and what the leader had applied before the heartbeat was sent. */
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

  /** A push of the replica; a gap, or an unavailable replica, ends the whole follow. */
  receive(push: Push): void {
    if (push.follow === this.#pushes.follow && push.isUnavailable) return this.fail();
    const order = this.#pushes.receive(push);
    if (order === "gap") return this.fail();
    if (order !== "next") return;
    for (const batch of push.batches) {
      const tail = this.#tails.get(batch.stream);
      if (tail === undefined) continue;
      if (batch.fault === "" && tail.isKnown && tail.incarnation === batch.incarnation)
        tail.extend(batch.incarnation, batch.messages);
      else this.returnToLeader(tail);
    }
  }

  /** As `ShardFollow.fetch`, from the replica; its log may be behind the leader's. */
  fetch(stream: string, incarnation: string, after: number): Promise<Fetched | undefined> {
    const fetch = { shard: this.#shard, stream, incarnation, after, isAtReplica: true };
    return fetchMessages(this.#node, this.#server, fetch);
  }

  /** Leaves the replica, for a while. */
  fail(): void {
    const now = this.#now();
    if (now - this.#since > ReplicaFollow.provenMs) this.#waitMs = ReplicaFollow.retryDelayMs;
    this.#againAt = now + this.#waitMs;
    this.#waitMs = Math.min(2 * this.#waitMs, ReplicaFollow.maxRepeatMs);
    this.#leave();
  }

  #leave(): void {
    this.#turn += 1;
    this.#server = "";
    this.#pushes.end();
    this.#isAsking = false;
    for (const tail of this.#tails.values()) this.returnToLeader(tail);
    this.#left.clear();
  }

  #isWanted(tail: StreamTail, now: number): boolean {
    const isOurs = tail.isKnown && !tail.keepsNothing && tail.servedIncarnation !== tail.incarnation;
    return isOurs && now >= (this.#lacked.get(tail) ?? 0);
  }

  /** The replica to follow: in this edge's region (zone, where there are none); nobody where the leader is. */
  #near(): string {
    const { shards, membership, rpc } = this.#node;
    const { leader, set } = shards.find(this.#shard);
    const own = membership.self.region || membership.self.zone;
    const near = (set?.members ?? [])
      .filter(({ name, zone }) => (membership.find(name)?.region || zone) === own)
      .map(({ name }) => name);
    if (leader === "" || near.includes(leader)) return "";
    const alive = near.filter((name) => membership.isAlive(name) && !rpc.isUnresponsive(name));
    return Rendezvous.rank(RendezvousKeys.nearbyReplica(rpc.name), alive)[0] ?? "";
  }

  #now(): number {
    return this.#node.parts.clock.now();
  }
}
