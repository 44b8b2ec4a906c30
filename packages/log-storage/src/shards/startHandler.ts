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

/** A cursor of a request, and the route of its topic. */
interface RequestedStart {
  readonly cursor: TopicCursor;
  readonly route: StreamRoute | undefined;
  /** Why there is no start, as stated in the reply; empty if there may be one. */
  readonly fault: string;
}

/** Answers where subscriptions start. A cursor is reported as unknown only if the committed head contradicts it. */
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

  /**
   * Confirms the leadership first: a head may become the start of a subscription only if no other node has taken over.
   */
  async start(request: StartRequest): Promise<BodyInit> {
    const unavailable: BodyInit = { case: "startReply", value: { outcome: "away" } };
    if (!this.#authority.isAuthorized) return unavailable;
    const { statuses } = this.#streams;
    await statuses.waitForConfigurations(request.cursors.map((cursor) => [statuses.routeOf(cursor.topic), cursor]));
    const requested = request.cursors.map((cursor) => this.#resolve(cursor));
    const routes = new Map(
      requested.flatMap(({ route, fault }) => (route === undefined || fault !== "" ? [] : [[route.stream, route]])),
    );
    await Promise.all([...routes.values()].map((route) => this.#streams.ensureIncarnation(route)));
    if (!this.#authority.isAuthorized || !(await this.#leader.confirmLeadership()) || !this.#authority.isAuthorized)
      return unavailable;
    const starts = requested.map((requestedStart) => this.#startOf(requestedStart));
    return { case: "startReply", value: { outcome: "done", starts } };
  }

  #resolve(cursor: TopicCursor): RequestedStart {
    const route = this.#node.configuration.route(cursor.topic);
    const contract = Configurations.contractFor(this.#node.configuration.configuration, cursor.topic);
    const isCurrent = route !== undefined && this.#streams.statuses.ofRequest(route, cursor) === "current";
    if (!isCurrent || !this.#streams.isInThisShard(route.stream)) return { cursor, route, fault: "behind" };
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
