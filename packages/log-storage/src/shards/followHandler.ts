import { create } from "@bufbuild/protobuf";
import {
  StreamHeadSchema,
  TopicCountSchema,
  type CountRequest,
  type Follow,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import type { StreamFollowers } from "../follows/streamFollowers.js";

interface FollowHandlerParts {
  node: ClusterNode;
  leader: ShardLeader;
  authority: LeaderAuthority;
  streams: ServedStreams;
  followers: StreamFollowers;
}

/** Answers edges that follow streams at a shard's leader: follows, their heartbeats, and counts of subscribers. */
export class FollowHandler {
  /** A new leader counts no subscribers until the edges have had this many milliseconds to report theirs. */
  static readonly countDelayMs = 700;

  readonly #node: ClusterNode;
  readonly #leader: ShardLeader;
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #followers: StreamFollowers;
  /** Clock time in ms at which the leader began to serve. */
  #servingSince = Infinity;

  constructor({ node, leader, authority, streams, followers }: FollowHandlerParts) {
    this.#node = node;
    this.#leader = leader;
    this.#authority = authority;
    this.#streams = streams;
    this.#followers = followers;
    leader.on("serving", () => (this.#servingSince = node.parts.clock.now()));
  }

  /** Handles an edge's heartbeat for this shard; the outcome is sent to the edge. */
  onHeartbeat(follow: Follow): string {
    if (!this.#authority.isAuthorized) return "away";
    return this.#followers.onHeartbeat(follow) ? "done" : "resync";
  }

  /** Counts the subscribers of each topic at the edges that are alive. */
  count({ topics }: CountRequest): BodyInit {
    const isEarly = this.#node.parts.clock.now() - this.#servingSince < FollowHandler.countDelayMs;
    if (!this.#authority.isAuthorized || isEarly) return { case: "countReply", value: { outcome: "away" } };
    const counts = topics.map((topic) => {
      const route = this.#node.configuration.route(topic);
      if (route === undefined) return create(TopicCountSchema, { topic, fault: "behind" });
      return create(TopicCountSchema, { topic, count: this.#followers.subscriberCountOf(route.stream, topic) });
    });
    return { case: "countReply", value: { outcome: "done", counts } };
  }

  /** Adds streams to an edge's follow, or begins it anew. What the edge lacks is pushed after the reply. */
  async follow(follow: Follow, edge: string): Promise<BodyInit> {
    if (!this.#authority.isAuthorized) return { case: "followReply", value: { outcome: "away" } };
    if (follow.streams.length === 0 && !follow.isFull)
      return { case: "followReply", value: { outcome: this.onHeartbeat(follow), epoch: this.#leader.epoch } };
    const statuses = follow.streams.map((requested) => this.#streams.statuses.ofStream(requested.stream, requested));
    const followed = follow.streams.filter((_, i) => statuses[i] === "current");
    await Promise.all(
      followed.map(({ stream, spaceIncarnation }) => {
        return this.#streams.ensureIncarnation({ stream, space: "", spaceIncarnation });
      }),
    );
    // While the lease is held no other node can have taken over, so these heads need no round of confirmation.
    if (!this.#authority.isAuthorized) return { case: "followReply", value: { outcome: "away" } };
    if (this.#followers.isStale(follow)) return { case: "followReply", value: { outcome: "resync" } };
    const { heads, number } = this.#followers.add(follow, followed, edge);
    const servedNames = new Set(heads.map((head) => head.stream));
    const unservedHeads = follow.streams.flatMap(({ stream }, i) =>
      servedNames.has(stream)
        ? []
        : [create(StreamHeadSchema, { stream, fault: statuses[i] === "removed" ? "unknown-topic" : "behind" })],
    );
    this.#node.parts.clock.once(0, () => {
      if (this.#authority.isAuthorized) this.#followers.push(servedNames);
    });
    return {
      case: "followReply",
      value: { outcome: "done", heads: [...heads, ...unservedHeads], epoch: this.#leader.epoch, number },
    };
  }
}
