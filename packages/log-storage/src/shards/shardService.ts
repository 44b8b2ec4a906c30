import type { CountRequest, Fetch, Follow, Publish, StartRequest } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { FollowHandler } from "./followHandler.js";
import { LeaderAuthority } from "./leaderAuthority.js";
import { PublishHandler } from "./publishHandler.js";
import type { PublishReply } from "./publishReplies.js";
import { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import { StartHandler } from "./startHandler.js";
import { StreamPusher } from "./streamPusher.js";
import { fetchMessages } from "./streamReads.js";
import { StreamTrimmer } from "./streamTrimmer.js";
import type { PushBatcher } from "../follows/pushBatcher.js";
import { StreamFollowers } from "../follows/streamFollowers.js";
import type { Replica } from "../replication/replica.js";

/** Serves edges for a shard's leader during one epoch. Wires the handlers, one for each kind of request. */
export class ShardService {
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;
  readonly #followers: StreamFollowers;
  readonly #publishes: PublishHandler;
  readonly #follows: FollowHandler;
  readonly #starts: StartHandler;
  readonly #trimmer: StreamTrimmer;

  constructor(
    node: ClusterNode,
    replica: Replica,
    leader: ShardLeader,
    pushBatcher: PushBatcher,
    isLeaseHeld: () => boolean,
  ) {
    const { shard } = replica;
    const authority = new LeaderAuthority(node, leader, isLeaseHeld);
    const streams = new ServedStreams(node, replica, leader);
    const followers = new StreamFollowers({
      node,
      shard,
      epoch: leader.epoch,
      pushBatcher,
      findLog: (stream) => streams.find(stream),
      isInMemory: (stream) => streams.statuses.isInMemory(stream),
    });
    const pusher = new StreamPusher(authority, streams, followers, pushBatcher);
    this.#replica = replica;
    this.#leader = leader;
    this.#authority = authority;
    this.#streams = streams;
    this.#followers = followers;
    this.#publishes = new PublishHandler({ node, shard, leader, authority, streams, pusher });
    this.#follows = new FollowHandler({ node, leader, authority, streams, followers });
    this.#starts = new StartHandler(node, leader, authority, streams);
    this.#trimmer = new StreamTrimmer({
      node,
      replica,
      leader,
      authority,
      streams,
      isFollowed: (stream) => followers.isFollowed(stream),
    });
    leader.on("applied", ({ verdict }) => {
      if (verdict?.kind === "accepted" && verdict.isFresh) void pusher.push(verdict.stream);
    });
  }

  /** See `LeaderAuthority.isAuthorized`. */
  get isAuthorized(): boolean {
    return this.#authority.isAuthorized;
  }

  /** See `PublishHandler.publish`. */
  publish(publish: Publish): Promise<PublishReply> {
    return this.#publishes.publish(publish);
  }

  /** See `FollowHandler.onHeartbeat`. */
  onHeartbeat(follow: Follow): string {
    return this.#follows.onHeartbeat(follow);
  }

  /** See `FollowHandler.count`. */
  count(request: CountRequest): BodyInit {
    return this.#follows.count(request);
  }

  /** See `FollowHandler.follow`. */
  follow(follow: Follow, edge: string): Promise<BodyInit> {
    return this.#follows.follow(follow, edge);
  }

  /** See `StartHandler.start`. */
  start(request: StartRequest): Promise<BodyInit> {
    return this.#starts.start(request);
  }

  /** Replies with a stream's messages after an offset, for an edge that missed pushes or reads from further back. */
  fetch(fetch: Fetch): BodyInit {
    if (!this.isAuthorized) return { case: "fetchReply", value: { outcome: "away" } };
    const { stream, incarnation } = fetch;
    const log = this.#streams.findByIncarnation(stream, incarnation) ?? this.#streams.find(stream);
    if (log === undefined || this.#streams.isEnded(stream))
      return { case: "fetchReply", value: { outcome: "unknown-topic" } };
    return fetchMessages(log, fetch);
  }

  /**
   * Applies a changed configuration: streams that have no space any more end for their followers, and streams that are
   * now kept elsewhere have to be followed anew. A stream that is kept as before causes no work.
   */
  applyConfiguration(): void {
    const followed = this.#followers.streams();
    this.#followers.endStreams(followed.filter((stream) => this.#streams.isEnded(stream)));
    for (const { stream } of this.#streams.memory.all())
      if (!this.#streams.statuses.isInMemory(stream) || this.#streams.isEnded(stream))
        this.#streams.memory.retire(stream, this.#leader.shardTime);
    const movedStreams = this.#followers.streams().filter((stream) => this.#followers.isOtherIncarnation(stream));
    this.#followers.requestRefollow(movedStreams);
    const replicatedLogs = [...this.#replica.state.streams.values()];
    if (replicatedLogs.some((log) => this.#streams.statuses.ofLog(log) === "ended")) void this.#trimmer.trimLog();
  }

  /** Drops edges that have become unresponsive, and trims what is due. */
  tick(): void {
    this.#followers.dropUnresponsive();
    this.#trimmer.tick();
  }
}
