import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Grouped } from "@cranetrack/core/store/grouped.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { TokenBucket } from "@cranetrack/core/runtime/tokenBucket.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { keepsNothing } from "@cranetrack/core/configuration/keepsNothing.js";
import type { Fetched } from "./fetchMessages.js";
import { ReplicaFollow } from "./replicaFollow.js";
import { ShardFollow, type CountsOf, type FollowInit } from "./shardFollow.js";
import { StreamTail } from "./streamTail.js";
import { SubscriberCounts } from "./subscriberCounts.js";

interface PendingHeartbeat {
  server: string;
  heartbeat: FollowInit;
  onReply: (outcome: string | undefined, applied: number) => void;
}

/**
 * The streams that this edge's connections need, each followed once.
 * Invariant: a stream of an earlier incarnation of its space is in here only until the last connection has left it.
 */
export class StreamTable {
  /** Milliseconds that a stream is followed on after its last user. */
  static readonly lingerMs = 5000;
  /** Changed counts that go to leaders at once: so many together, and so many a second. */
  static readonly countUpdates = { burst: 10, perSecond: 5 } as const;

  readonly #node: ClusterNode;
  readonly #tails = new Map<string, StreamTail>();
  readonly #follows: ShardFollow[];
  readonly #atReplicas: ReplicaFollow[];

  /** Subscribers at this edge, by stream and topic; cursors report them. */
  readonly counts = new SubscriberCounts((tail, topic) => this.#follows[tail.shard]!.countChanged(tail, topic));
  /** The counts that are sent to the leaders; a replacement reports changes by `countChanged`. */
  countsOf: CountsOf = (stream) => this.counts.of(stream);

  constructor(node: ClusterNode) {
    this.#node = node;
    const countsOf: CountsOf = (stream) => this.countsOf(stream);
    const { burst, perSecond } = StreamTable.countUpdates;
    const countUpdates = new TokenBucket(node.parts.clock, burst, perSecond);
    this.#follows = Array.from(
      { length: node.parts.settings.shards },
      (_, shard) => new ShardFollow(node, shard, countsOf, countUpdates),
    );
    this.#atReplicas = this.#follows.map((follow, shard) => new ReplicaFollow(node, shard, follow));
    const failAt = (name: string): void => {
      for (const follow of this.#atReplicas) if (follow.server === name) follow.fail();
    };
    node.rpc.on("unresponsive", failAt);
    node.membership.on("suspected", failAt);
    node.rpc.serve("push", (push) => {
      this.#receive(push);
      return undefined;
    });
    node.rpc.serve("pushes", ({ pushes }) => {
      for (const push of pushes) this.#receive(push);
      return undefined;
    });
    node.shards.on("changed", (shard) => {
      this.#follows[shard]?.moved();
      void this.#atReplicas[shard]?.reconcile();
    });
    node.configuration.on("changed", () => this.#configurationChanged());
    node.parts.clock.every(ShardFollow.tickIntervalMs, () => this.#tick());
  }

  /** Streams that are followed. */
  get count(): number {
    return this.#tails.size;
  }

  /** The shard that a stream belongs to. */
  shardOf(stream: string): number {
    return Rendezvous.shardOf(stream, this.#follows.length);
  }

  /** Who pushes a stream to this edge now. */
  serverOf(tail: StreamTail): string {
    return tail.servedIncarnation !== "" ? this.#atReplicas[tail.shard]!.server : this.#follows[tail.shard]!.leader;
  }

  /** Messages after an offset that the tail no longer has; the leader has them where the replica does not yet. */
  async fetch(tail: StreamTail, incarnation: string, after: number): Promise<Fetched | undefined> {
    const { stream, shard } = tail;
    if (tail.servedIncarnation === incarnation) {
      const got = await this.#atReplicas[shard]!.fetch(stream, incarnation, after);
      if (got !== undefined && (got.outcome === "trimmed" || got.messages.length > 0)) return got;
    }
    return this.#follows[shard]!.fetch(stream, incarnation, after);
  }

  /** The stream's tail, followed from now on. Each call is paired with one `release`. */
  acquire(route: StreamRoute): StreamTail {
    const key = StreamTable.#key(route);
    let tail = this.#tails.get(key);
    if (tail === undefined) {
      tail = new StreamTail(route, this.shardOf(route.stream));
      tail.keepsNothing = keepsNothing(this.#node.configuration.configuration, route.stream);
      tail.on("disorder", ({ message: { topic, session, number }, last }) =>
        this.#node.invariants.violated("publisherOrder", { topic, session, number, last }),
      );
      this.#tails.set(key, tail);
      this.#follows[tail.shard]!.add(tail);
      this.#atReplicas[tail.shard]!.add(tail);
    } else if (!tail.isKnown) this.#follows[tail.shard]!.add(tail);
    tail.users += 1;
    return tail;
  }

  /** Its last user gone, the stream is dropped `lingerMs` later. */
  release(tail: StreamTail): void {
    tail.users -= 1;
    if (tail.users > 0) return;
    this.#node.parts.clock.once(StreamTable.lingerMs, () => {
      const key = StreamTable.#key(tail.route);
      if (tail.users > 0 || this.#tails.get(key) !== tail) return;
      this.#tails.delete(key);
      this.#remove(tail);
    });
  }

  /** Resolves once the stream's leader has confirmed it, or said that it has none, or `timeoutMs` have passed. */
  known(tail: StreamTail, timeoutMs: number): Promise<void> {
    if (tail.isKnown) return Promise.resolve();
    return new Promise((resolve) => {
      const end = (): void => {
        timer.stop();
        tail.off("grown", end);
        tail.off("ended", end);
        resolve();
      };
      const timer = this.#node.parts.clock.once(timeoutMs, end);
      tail.on("grown", end);
      tail.on("ended", end);
    });
  }

  /**
   * One heartbeat to each node for all its shards: those that it leads, and those that it is followed at as a replica.
   */
  #tick(): void {
    const pending = this.#follows.flatMap((follow, shard): PendingHeartbeat[] => {
      const atReplica = this.#atReplicas[shard]!;
      const { applied } = follow;
      const heartbeat = follow.leader === "" ? undefined : follow.heartbeat();
      const replicaHeartbeat = atReplica.heartbeat();
      const heartbeats: PendingHeartbeat[] = [];
      if (heartbeat !== undefined)
        heartbeats.push({
          server: follow.leader,
          heartbeat,
          onReply: (outcome, applied) => {
            if (outcome !== undefined && outcome !== "away") follow.applied = applied;
            void follow.onHeartbeatOutcome(heartbeat, outcome);
          },
        });
      if (replicaHeartbeat !== undefined)
        heartbeats.push({
          server: atReplica.server,
          heartbeat: replicaHeartbeat,
          onReply: (outcome, appliedThere) =>
            atReplica.onHeartbeatOutcome(replicaHeartbeat, outcome, appliedThere, applied),
        });
      return heartbeats;
    });
    for (const [server, list] of Grouped.by(pending, (one) => one.server)) void this.#sendHeartbeatTo(server, list);
  }

  async #sendHeartbeatTo(server: string, list: readonly PendingHeartbeat[]): Promise<void> {
    const heartbeats = list.map(({ heartbeat }) => heartbeat);
    const reply = await this.#node.rpc.call(server, { case: "followHeartbeats", value: { heartbeats } }, 700);
    const { outcomes, applied } = reply?.case === "followHeartbeatsReply" ? reply.value : { outcomes: [], applied: [] };
    for (const [i, { onReply }] of list.entries()) onReply(outcomes[i], applied[i] ?? 0);
  }

  /**
   * A configuration in force that has no such stream, or another incarnation of its space, ends what was followed of
   * it.
   */
  #configurationChanged(): void {
    for (const tail of this.#tails.values()) {
      tail.keepsNothing = keepsNothing(this.#node.configuration.configuration, tail.stream);
      if (tail.keepsNothing) this.#atReplicas[tail.shard]!.returnToLeader(tail);
      if (this.#node.configuration.spaceIncarnationOf(tail.stream) === tail.route.spaceIncarnation) continue;
      this.#remove(tail);
      tail.end("topic-gone");
    }
  }

  #remove(tail: StreamTail): void {
    this.#atReplicas[tail.shard]!.remove(tail);
    this.#follows[tail.shard]!.remove(tail);
  }

  #receive(push: Push): void {
    this.#follows[push.shard]?.receive(push);
    this.#atReplicas[push.shard]?.receive(push);
  }

  static #key({ stream, spaceIncarnation }: StreamRoute): string {
    return `${spaceIncarnation} ${stream}`;
  }
}
