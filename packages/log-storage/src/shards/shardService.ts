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
import type { StreamLog } from "./streamLog.js";
import { StreamPusher } from "./streamPusher.js";
import { fetchMessages } from "./streamReads.js";
import { StreamTrimmer } from "./streamTrimmer.js";
import type { PushBatcher } from "../follows/pushBatcher.js";
import { StreamFollowers } from "../follows/streamFollowers.js";
import type { Replica } from "../replication/replica.js";

/** What a shard's leader does for edges, for one epoch. Wires the handlers, one for each kind of request. */
export class ShardService {
  readonly #replica: Replica;
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
      find: (stream) => streams.find(stream),
      isInMemory: (stream) => streams.statuses.isInMemory(stream),
    });
    const pusher = new StreamPusher(authority, streams, followers, pushBatcher);
    this.#replica = replica;
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

  /** Whether lease, configuration and epoch may be acted on now. */
  get isOpen(): boolean {
    return this.#authority.isOpen;
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

  /** Messages of a stream after an offset, for an edge that missed pushes or reads from further back. */
  fetch(fetch: Fetch): BodyInit {
    if (!this.isOpen) return { case: "fetchReply", value: { outcome: "away" } };
    const log = this.#streams.find(fetch.stream);
    if (log === undefined || this.#streams.statuses.ofStream(fetch.stream, log.spaceIncarnation) !== "current")
      return { case: "fetchReply", value: { outcome: "unknown-topic" } };
    return fetchMessages(log, fetch);
  }

  /** Removed spaces end at once; what is past its retention goes at the next trim. */
  configurationChanged(): void {
    const { statuses, memory } = this.#streams;
    const inLog = [...this.#replica.state.streams.values()];
    const inMemory = memory.all();
    const isRemoved = (log: StreamLog): boolean => statuses.ofStream(log.stream, log.spaceIncarnation) === "removed";
    const removedFromLog = inLog.filter(isRemoved);
    // A stream that moved between log and memory goes on in another incarnation.
    const movedToLog = inMemory.filter((log) => !statuses.isInMemory(log.stream));
    const movedToMemory = inLog.filter((log) => statuses.isInMemory(log.stream));
    this.#followers.end([...removedFromLog, ...inMemory.filter(isRemoved)].map((log) => log.stream));
    this.#followers.requestRefollow([...movedToLog, ...movedToMemory].map((log) => log.stream));
    for (const log of [...movedToLog, ...inMemory.filter(isRemoved)]) memory.remove(log.stream);
    if (removedFromLog.length + movedToMemory.length > 0) void this.#trimmer.trimLog();
  }

  /** Forgets edges that went unresponsive, and trims what is due. */
  tick(): void {
    this.#followers.dropUnresponsive();
    this.#trimmer.tick();
  }
}
