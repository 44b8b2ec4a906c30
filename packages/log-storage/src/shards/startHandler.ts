import { create } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import {
  TopicStartSchema,
  type StartRequest,
  type TopicCursor,
  type TopicStart,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaderAuthority } from "./leaderAuthority.js";
import type { ServedStreams } from "./servedStreams.js";
import type { ShardLeader } from "./shardLeader.js";
import { startInLog, startInMemory } from "./streamReads.js";

interface RequestedStart {
  readonly cursor: TopicCursor;
  readonly route: StreamRoute | undefined;
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
    const { statuses } = this.#streams;
    await statuses.heard(request.cursors.map((cursor) => [statuses.routeOf(cursor.topic), cursor]));
    const requested = request.cursors.map((cursor) => this.#resolve(cursor));
    const routes = new Map(
      requested.flatMap(({ route, fault }) => (route === undefined || fault !== "" ? [] : [[route.stream, route]])),
    );
    await Promise.all([...routes.values()].map((route) => this.#streams.incarnationOf(route)));
    if (!this.#authority.isOpen || !(await this.#leader.confirm()) || !this.#authority.isOpen) return unavailable;
    const starts = requested.map((one) => this.#startOf(one));
    return { case: "startReply", value: { outcome: "done", starts } };
  }

  #resolve(cursor: TopicCursor): RequestedStart {
    const route = this.#node.configuration.route(cursor.topic);
    const contract = Configurations.contractFor(this.#node.configuration.configuration, cursor.topic);
    const isCurrent = route !== undefined && this.#streams.statuses.ofRequest(route, cursor) === "current";
    if (!isCurrent || !this.#streams.isOwn(route.stream)) return { cursor, route, fault: "behind" };
    return { cursor, route, fault: contract === undefined ? "unknown-topic" : "" };
  }

  #startOf({ cursor, route, fault }: RequestedStart): TopicStart {
    if (fault !== "") return create(TopicStartSchema, { topic: cursor.topic, outcome: fault });
    const { stream } = route!;
    const served = this.#streams.find(stream);
    if (served === undefined) return create(TopicStartSchema, { topic: cursor.topic, outcome: "behind" });
    if (!this.#streams.statuses.isInMemory(stream)) return startInLog(served, cursor);
    return startInMemory(served, this.#streams.findInLog(stream), cursor);
  }
}
