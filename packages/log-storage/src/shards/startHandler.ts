import { create } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import {
  TopicStartSchema,
  type StartRequest,
  type TopicCursor,
  type TopicStart,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import { startInLog, startInMemory } from "./streamReads.js";

interface RequestedStart {
  readonly cursor: TopicCursor;
  readonly stream: string;
  /** Why there is no start, as it travels; empty where there may be one. */
  readonly fault: string;
}

/** Answers where subscriptions start. Only what the committed head contradicts is an unknown cursor. */
export class StartHandler {
  readonly #node: ClusterNode;
  readonly #leader: ShardLeader;
  readonly #authority: LeaderAuthority;
  readonly #streams: ServedStreams;

  constructor(node: ClusterNode, leader: ShardLeader, authority: LeaderAuthority, streams: ServedStreams) {
    this.#node = node;
    this.#leader = leader;
    this.#authority = authority;
    this.#streams = streams;
  }

  /** The leader confirms itself first: a head may become somebody's start only if nobody has taken over meanwhile. */
  async start(request: StartRequest): Promise<BodyInit> {
    const unavailable: BodyInit = { case: "startReply", value: { outcome: "away" } };
    if (!this.#authority.isOpen) return unavailable;
    const requested = request.cursors.map((cursor) => this.#resolve(cursor));
    const incarnations = new Map(
      requested.filter(({ fault }) => fault === "").map(({ stream, cursor }) => [stream, cursor.spaceIncarnation]),
    );
    await Promise.all(
      [...incarnations].map(([stream, spaceIncarnation]) => this.#streams.incarnationOf(stream, spaceIncarnation)),
    );
    if (!this.#authority.isOpen || !(await this.#leader.confirm()) || !this.#authority.isOpen) return unavailable;
    const starts = requested.map((one) => this.#startOf(one));
    return { case: "startReply", value: { outcome: "done", starts } };
  }

  #resolve(cursor: TopicCursor): RequestedStart {
    const route = this.#node.configuration.route(cursor.topic);
    const status = this.#streams.statuses.ofIncarnation(route?.spaceIncarnation, cursor.spaceIncarnation);
    const contract = Configurations.contractFor(this.#node.configuration.configuration, cursor.topic);
    const stream = route?.stream ?? "";
    const fault = status !== "current" ? "behind" : contract === undefined ? "unknown-topic" : "";
    return { cursor, stream, fault: fault === "" && !this.#streams.isOwn(stream) ? "behind" : fault };
  }

  #startOf({ cursor, stream, fault }: RequestedStart): TopicStart {
    const log = this.#streams.find(stream);
    if (fault !== "") return create(TopicStartSchema, { topic: cursor.topic, outcome: fault });
    if (log?.spaceIncarnation !== cursor.spaceIncarnation)
      return create(TopicStartSchema, { topic: cursor.topic, outcome: "behind" });
    return this.#streams.statuses.isInMemory(stream) ? startInMemory(log, cursor) : startInLog(log, cursor);
  }
}
