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
 * Follower reads: a replica that does not lead its shard pushes what is committed to edges that are near it.
 * Invariants: only entries up to the commit index that the shard's present leader sent are served, and only while
 * that leader's last message is recent, nothing committed has stayed unapplied for long, and the feed is fresh;
 * nothing is decided here: a stream that is not here in the incarnation that the edge has from the leader is left to
 * the leader.
 */
export class FollowerReads {
  static readonly leaderTimeoutMs = 700;
  static readonly maxLagMs = 300;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #pushBatcher: PushBatcher;
  readonly #followers: StreamFollowers;
  readonly #statuses: StreamStatuses;
  /** Streams with messages applied and not yet pushed; all that is followed is looked at where it is not only these. */
  readonly #changed = new Set<string>();
  #isPushScheduled = false;
  #mayAllHaveChanged = false;

  constructor(node: ClusterNode, replica: Replica, pushBatcher: PushBatcher) {
    this.#node = node;
    this.#replica = replica;
    this.#pushBatcher = pushBatcher;
    this.#statuses = new StreamStatuses(node);
    this.#followers = new StreamFollowers({
      node,
      shard: replica.shard,
      epoch: 0,
      pushBatcher,
      find: (stream) => this.#find(stream),
      isInMemory: () => false,
    });
    replica.on("applied", ({ verdict }) => {
      if (this.#followers.count === 0) return;
      if (verdict === undefined) return this.#onStreamChanged("");
      if (verdict.kind === "accepted" && verdict.isFresh) this.#onStreamChanged(verdict.stream);
    });
    replica.on("installed", () => this.#onStreamChanged(""));
    node.configuration.on("changed", () => this.#onStreamChanged(""));
    node.shards.on("changed", (shard) => {
      if (shard === replica.shard) this.#endIfClosed();
    });
  }

  /** Whether this replica may serve reads now; see the invariants. */
  get isOpen(): boolean {
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

  /** Edges that follow here. */
  get count(): number {
    return this.#followers.count;
  }

  /** Answers in the same event-loop turn, so that no push overtakes the answer. */
  follow(follow: Follow, edge: string): BodyInit {
    if (!this.isOpen) return { case: "followReply", value: { outcome: "away" } };
    if (this.#followers.isStale(follow)) return { case: "followReply", value: { outcome: "resync" } };
    const followed = follow.streams.filter((at) => this.#isServedHere(at));
    const { heads, number } = this.#followers.admit(follow, followed, edge);
    const found = new Set(heads.map((head) => head.stream));
    const missing = follow.streams.flatMap(({ stream }) =>
      found.has(stream) ? [] : [create(StreamHeadSchema, { stream, fault: "behind" })],
    );
    for (const stream of found) this.#onStreamChanged(stream);
    return { case: "followReply", value: { outcome: "done", heads: [...heads, ...missing], number } };
  }

  /** Heartbeat of one edge for this shard; the outcome travels to the edge. */
  onHeartbeat(follow: Follow): string {
    if (!this.isOpen) return "away";
    return this.#followers.onHeartbeat(follow) ? "done" : "resync";
  }

  /** Messages after an offset, as far as they are committed and applied here. */
  fetch(fetch: Fetch): BodyInit {
    const log = this.#find(fetch.stream);
    if (!this.isOpen || log === undefined) return { case: "fetchReply", value: { outcome: "away" } };
    return fetchMessages(log, fetch);
  }

  /** Forgets unresponsive edges; sends the others back to the leader where reads may not be served any more. */
  tick(): void {
    if (this.#followers.count === 0) return;
    this.#followers.dropUnresponsive();
    this.#endIfClosed();
  }

  #endIfClosed(): void {
    if (this.#followers.count > 0 && !this.isOpen) this.#followers.endAll();
  }

  #find(stream: string): StreamLog | undefined {
    const log = this.#replica.state.streams.get(stream);
    if (log === undefined || this.#statuses.isInMemory(stream)) return undefined;
    return this.#statuses.ofLog(log) === "current" ? log : undefined;
  }

  #isServedHere({ stream, incarnation }: StreamAt): boolean {
    return this.#find(stream)?.incarnation === incarnation;
  }

  /** A stream has messages to push. Empty for any: it may have, or be gone in the incarnation that is followed. */
  #onStreamChanged(stream: string): void {
    if (this.#followers.count === 0) return;
    if (stream === "") this.#mayAllHaveChanged = true;
    else this.#changed.add(stream);
    if (this.#isPushScheduled) return;
    this.#isPushScheduled = true;
    this.#pushBatcher.runAtTurnEnd(() => this.#push());
  }

  #push(): void {
    const streams = this.#mayAllHaveChanged ? this.#followers.streams() : [...this.#changed];
    this.#changed.clear();
    this.#isPushScheduled = this.#mayAllHaveChanged = false;
    if (!this.isOpen) return this.#endIfClosed();
    this.#followers.requestRefollow(streams.filter((stream) => this.#followers.isOtherIncarnation(stream)));
    this.#followers.push(streams);
  }
}
