import { create } from "@bufbuild/protobuf";
import { StreamHeadSchema, type Fetch, type Follow, type StreamAt } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { StreamLog } from "../shards/streamLog.js";
import { fetchMessages } from "../shards/streamReads.js";
import { StreamFollowers } from "./streamFollowers.js";
import type { PushBatcher } from "./pushBatcher.js";
import type { Replica } from "../replication/replica.js";
import { StreamStatuses } from "../shards/streamStatuses.js";

/**
 * Follower reads: a replica that does not lead its shard pushes committed messages to the edges near it.
 * Invariants: the replica serves only entries up to the commit index that the shard's current leader sent, and only
 * while that leader's last message is recent, no committed entry has stayed unapplied for long, and the feed is fresh.
 * The replica makes no decisions about streams: if it does not have a stream in the incarnation that the edge learned
 * from the leader, the edge has to follow that stream at the leader.
 */
export class FollowerReads {
  /** Reads are served only if the leader's last message is more recent than this. */
  static readonly leaderTimeoutMs = 700;
  /** Reads are served only if no committed entry has been unapplied for this long. */
  static readonly maxLagMs = 300;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #pushBatcher: PushBatcher;
  readonly #edgeFollowers: StreamFollowers;
  readonly #streamStatuses: StreamStatuses;
  /** Streams with applied messages that are not pushed yet; unused while `#anyStreamMayHaveChanged` is set. */
  readonly #changedStreams = new Set<string>();
  #isPushScheduled = false;
  /** Any followed stream may have new messages or another incarnation, so the next push checks all of them. */
  #anyStreamMayHaveChanged = false;

  constructor(node: ClusterNode, replica: Replica, pushBatcher: PushBatcher) {
    this.#node = node;
    this.#replica = replica;
    this.#pushBatcher = pushBatcher;
    this.#streamStatuses = new StreamStatuses(node);
    this.#edgeFollowers = new StreamFollowers({
      node,
      shard: replica.shard,
      epoch: 0,
      pushBatcher,
      findLog: (stream) => this.#findCurrentLog(stream),
      isInMemory: () => false,
    });
    replica.on("applied", ({ verdict }) => {
      if (this.#edgeFollowers.count === 0) return;
      if (verdict === undefined) return this.#onStreamChanged("");
      if (verdict.kind === "accepted" && verdict.isFresh) this.#onStreamChanged(verdict.stream);
    });
    replica.on("installed", () => this.#onStreamChanged(""));
    node.configuration.on("changed", () => this.#onStreamChanged(""));
    node.shards.on("changed", (shard) => {
      if (shard === replica.shard) this.#endFollowsIfClosed();
    });
  }

  /** Whether this replica may serve reads now; see the invariants of the class. */
  get mayServeReads(): boolean {
    const { leader, leaderId, epoch, set } = this.#node.shards.find(this.#replica.shard);
    const { id } = this.#replica;
    return (
      leader !== "" &&
      leaderId !== id &&
      set?.members.some((member) => member.id === id) === true &&
      this.#replica.sinceLeaderContactMs(epoch) < FollowerReads.leaderTimeoutMs &&
      this.#replica.lagMs < FollowerReads.maxLagMs &&
      this.#node.feed.isFresh
    );
  }

  /** How many edges follow streams at this replica. */
  get count(): number {
    return this.#edgeFollowers.count;
  }

  /**
   * Adds streams to an edge's follow. The outcome of the reply is `done`, `away` (this replica may not serve reads now)
   * or `resync` (the edge must follow in full again); a stream that this replica can't serve has the fault `behind`.
   * Replies in the same event-loop turn, so that no push reaches the edge before the reply.
   */
  follow(follow: Follow, edge: string): BodyInit {
    if (!this.mayServeReads) return { case: "followReply", value: { outcome: "away" } };
    if (this.#edgeFollowers.isStale(follow)) return { case: "followReply", value: { outcome: "resync" } };
    const servedStreams = follow.streams.filter((requested) => this.#isServedHere(requested));
    const { heads, number } = this.#edgeFollowers.add(follow, servedStreams, edge);
    const admittedStreams = new Set(heads.map((head) => head.stream));
    const missingHeads = follow.streams.flatMap(({ stream }) =>
      admittedStreams.has(stream) ? [] : [create(StreamHeadSchema, { stream, fault: "behind" })],
    );
    for (const stream of admittedStreams) this.#onStreamChanged(stream);
    return { case: "followReply", value: { outcome: "done", heads: [...heads, ...missingHeads], number } };
  }

  /** Handles an edge's heartbeat for this shard; returns the outcome for the edge: `done`, `away` or `resync`. */
  onHeartbeat(follow: Follow): string {
    if (!this.mayServeReads) return "away";
    return this.#edgeFollowers.onHeartbeat(follow) ? "done" : "resync";
  }

  /** Returns messages after an offset, as far as they are committed and applied at this replica. */
  fetch(fetch: Fetch): BodyInit {
    const log = this.#findCurrentLog(fetch.stream);
    if (!this.mayServeReads || log === undefined) return { case: "fetchReply", value: { outcome: "away" } };
    return fetchMessages(log, fetch);
  }

  /** Removes unresponsive edges, and sends all edges back to the leader if this replica may no longer serve reads. */
  tick(): void {
    if (this.#edgeFollowers.count === 0) return;
    this.#edgeFollowers.dropUnresponsive();
    this.#endFollowsIfClosed();
  }

  #endFollowsIfClosed(): void {
    if (this.#edgeFollowers.count > 0 && !this.mayServeReads) this.#edgeFollowers.endAll();
  }

  #findCurrentLog(stream: string): StreamLog | undefined {
    const log = this.#replica.state.streams.get(stream);
    if (log === undefined || this.#streamStatuses.isInMemory(stream)) return undefined;
    return this.#streamStatuses.ofLog(log) === "current" ? log : undefined;
  }

  #isServedHere({ stream, incarnation }: StreamAt): boolean {
    return this.#findCurrentLog(stream)?.incarnation === incarnation;
  }

  /** Schedules a push for a stream; the empty string means that any stream may have new messages or have ended. */
  #onStreamChanged(stream: string): void {
    if (this.#edgeFollowers.count === 0) return;
    if (stream === "") this.#anyStreamMayHaveChanged = true;
    else this.#changedStreams.add(stream);
    if (this.#isPushScheduled) return;
    this.#isPushScheduled = true;
    this.#pushBatcher.runAtTurnEnd(() => this.#push());
  }

  #push(): void {
    const streams = this.#anyStreamMayHaveChanged ? this.#edgeFollowers.streams() : [...this.#changedStreams];
    this.#changedStreams.clear();
    this.#isPushScheduled = this.#anyStreamMayHaveChanged = false;
    if (!this.mayServeReads) return this.#endFollowsIfClosed();
    this.#edgeFollowers.requestRefollow(streams.filter((stream) => this.#edgeFollowers.isOtherIncarnation(stream)));
    this.#edgeFollowers.push(streams);
  }
}
