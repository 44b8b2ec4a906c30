import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Grouped } from "@cranetrack/core/store/grouped.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { TokenBucket } from "@cranetrack/core/runtime/tokenBucket.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { keepsNothing } from "@cranetrack/core/configuration/keepsNothing.js";
import type { FetchResult } from "./fetchMessages.js";
import { ReplicaFollow } from "./replicaFollow.js";
import { ShardFollow, type CountsOf, type FollowInit } from "./shardFollow.js";
import { StreamTail } from "./streamTail.js";
import { SubscriberCounts } from "./subscriberCounts.js";

/** A heartbeat to be sent to a node, and the function that handles its reply. */
interface PendingHeartbeat {
  server: string;
  heartbeat: FollowInit;
  onReply: (outcome: string | undefined, applied: number) => void;
}

/**
 * The streams that this edge's connections read, each followed once for all of them.
 * Invariant: a stream of an earlier incarnation of its space is here only until the last connection releases it.
 */
export class StreamTable {
  /** Milliseconds that a stream is still followed after its last user has released it. */
  static readonly lingerMs = 5000;
  /** Rate limit of count updates that are sent to leaders at once. */
  static readonly countUpdates = { burst: 10, perSecond: 5 } as const;

  readonly #node: ClusterNode;
  readonly #tails = new Map<string, StreamTail>();
  readonly #leaderFollows: ShardFollow[];
  readonly #replicaFollows: ReplicaFollow[];

  /** The number of subscribers at this edge, by stream and topic; cursors update it. */
  readonly counts = new SubscriberCounts((tail, topic) => this.#leaderFollows[tail.shard]!.countChanged(tail, topic));
  /** Returns the counts to send to the leaders; code that replaces it must report changes by `countChanged`. */
  countsOf: CountsOf = (stream) => this.counts.of(stream);

  constructor(node: ClusterNode) {
    this.#node = node;
    const countsOf: CountsOf = (stream) => this.countsOf(stream);
    const { burst, perSecond } = StreamTable.countUpdates;
    const countUpdates = new TokenBucket(node.parts.clock, burst, perSecond);
    this.#leaderFollows = Array.from(
      { length: node.parts.settings.shards },
      (_, shard) => new ShardFollow(node, shard, countsOf, countUpdates),
    );
    this.#replicaFollows = this.#leaderFollows.map((follow, shard) => new ReplicaFollow(node, shard, follow));
    const leaveReplica = (name: string): void => {
      for (const follow of this.#replicaFollows) if (follow.server === name) follow.fail();
    };
    node.rpc.on("unresponsive", leaveReplica);
    node.membership.on("suspected", leaveReplica);
    node.rpc.serve("push", (push) => {
      this.#receive(push);
      return undefined;
    });
    node.rpc.serve("pushes", ({ pushes }) => {
      for (const push of pushes) this.#receive(push);
      return undefined;
    });
    node.shards.on("changed", (shard) => {
      this.#leaderFollows[shard]?.onRouteChanged();
      void this.#replicaFollows[shard]?.reconcile();
    });
    node.configuration.on("changed", () => this.#configurationChanged());
    node.parts.clock.every(ShardFollow.tickIntervalMs, () => this.#tick());
  }

  /** The number of followed streams. */
  get count(): number {
    return this.#tails.size;
  }

  /** The shard that a stream belongs to. */
  shardOf(stream: string): number {
    return Rendezvous.shardOf(stream, this.#leaderFollows.length);
  }

  /** The node that pushes a stream to this edge now: a replica or the leader. */
  serverOf(tail: StreamTail): string {
    return tail.replicaIncarnation !== ""
      ? this.#replicaFollows[tail.shard]!.server
      : this.#leaderFollows[tail.shard]!.leader;
  }

  /** Fetches messages that the tail no longer has, from the leader if the replica does not have them yet. */
  async fetch(tail: StreamTail, incarnation: string, after: number): Promise<FetchResult | undefined> {
    const { stream, shard } = tail;
    if (tail.replicaIncarnation === incarnation) {
      const fromReplica = await this.#replicaFollows[shard]!.fetch(stream, incarnation, after);
      if (fromReplica !== undefined && (fromReplica.outcome === "trimmed" || fromReplica.messages.length > 0))
        return fromReplica;
    }
    return this.#leaderFollows[shard]!.fetch(stream, incarnation, after);
  }

  /** Returns the stream's tail and follows the stream. Each call must be paired with one `release`. */
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
      this.#leaderFollows[tail.shard]!.add(tail);
      this.#replicaFollows[tail.shard]!.add(tail);
    } else if (!tail.isConfirmed) this.#leaderFollows[tail.shard]!.add(tail);
    tail.userCount += 1;
    return tail;
  }

  /** Releases the tail. `lingerMs` after its last user has released it, the stream is no longer followed. */
  release(tail: StreamTail): void {
    tail.userCount -= 1;
    if (tail.userCount > 0) return;
    this.#node.parts.clock.once(StreamTable.lingerMs, () => {
      const key = StreamTable.#key(tail.route);
      if (tail.userCount > 0 || this.#tails.get(key) !== tail) return;
      this.#tails.delete(key);
      this.#remove(tail);
    });
  }

  /** Resolves once the leader has confirmed the stream or reported that it has none, or after `timeoutMs`. */
  whenConfirmed(tail: StreamTail, timeoutMs: number): Promise<void> {
    if (tail.isConfirmed) return Promise.resolve();
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
   * Sends each node one call with the heartbeats of all its shards: those that it leads, and those for which this edge
   * follows it as a replica.
   */
  #tick(): void {
    const pending = this.#leaderFollows.flatMap((follow, shard): PendingHeartbeat[] => {
      const replicaFollow = this.#replicaFollows[shard]!;
      const { appliedIndex } = follow;
      const heartbeat = follow.leader === "" ? undefined : follow.heartbeat();
      const replicaHeartbeat = replicaFollow.heartbeat();
      const heartbeats: PendingHeartbeat[] = [];
      if (heartbeat !== undefined)
        heartbeats.push({
          server: follow.leader,
          heartbeat,
          onReply: (outcome, applied) => {
            if (outcome !== undefined && outcome !== "away") follow.appliedIndex = applied;
            void follow.onHeartbeatOutcome(heartbeat, outcome);
          },
        });
      if (replicaHeartbeat !== undefined)
        heartbeats.push({
          server: replicaFollow.server,
          heartbeat: replicaHeartbeat,
          onReply: (outcome, appliedAtReplica) =>
            replicaFollow.onHeartbeatOutcome(replicaHeartbeat, outcome, appliedAtReplica, appliedIndex),
        });
      return heartbeats;
    });
    for (const [server, list] of Grouped.by(pending, (heartbeat) => heartbeat.server))
      void this.#sendHeartbeatTo(server, list);
  }

  async #sendHeartbeatTo(server: string, list: readonly PendingHeartbeat[]): Promise<void> {
    const heartbeats = list.map(({ heartbeat }) => heartbeat);
    const reply = await this.#node.rpc.call(
      server,
      { case: "followHeartbeats", value: { heartbeats } },
      ShardFollow.heartbeatTimeoutMs,
    );
    const { outcomes, applied } = reply?.case === "followHeartbeatsReply" ? reply.value : { outcomes: [], applied: [] };
    for (const [i, { onReply }] of list.entries()) onReply(outcomes[i], applied[i] ?? 0);
  }

  /**
   * Ends streams that the configuration in force no longer has, or has in another incarnation of their space. A stream
   * that it no longer stores is pushed by its leader again.
   */
  #configurationChanged(): void {
    for (const tail of this.#tails.values()) {
      tail.keepsNothing = keepsNothing(this.#node.configuration.configuration, tail.stream);
      if (tail.keepsNothing) this.#replicaFollows[tail.shard]!.returnToLeader(tail);
      if (this.#node.configuration.spaceIncarnationOf(tail.stream) === tail.route.spaceIncarnation) continue;
      this.#remove(tail);
      tail.end("topic-gone");
    }
  }

  #remove(tail: StreamTail): void {
    this.#replicaFollows[tail.shard]!.remove(tail);
    this.#leaderFollows[tail.shard]!.remove(tail);
  }

  #receive(push: Push): void {
    this.#leaderFollows[push.shard]?.receive(push);
    this.#replicaFollows[push.shard]?.receive(push);
  }

  static #key({ stream, spaceIncarnation }: StreamRoute): string {
    return `${spaceIncarnation} ${stream}`;
  }
}
