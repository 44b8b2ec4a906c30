import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { Streams, type StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StreamLog } from "./streamLog.js";

/**
 * What the configuration in force at this node says of a stream that a request names. `current`: the stream is in
 * force. `unheard`: the sender uses a later configuration, which this node has not received yet. `removed`: there is no
 * such stream.
 */
export type RequestStatus = "current" | "unheard" | "removed";

/**
 * What the configuration in force says of a log. `current`: its stream is in force. `uncovered`: no contract covers the
 * stream now, but one may again. `ended`: it can't come back, because its space was removed or has a new incarnation.
 */
export type LogStatus = "current" | "uncovered" | "ended";

/** What a request says of the configuration that its sender uses. */
export interface SenderView {
  /** Version of that configuration. */
  readonly configurationVersion: number;
  /** Incarnation of the stream's space according to it; 0 for a topic's own stream. */
  readonly spaceIncarnation: number;
  /** Whether the stream's messages are kept according to it, that is, in the replicated log. */
  readonly isKept: boolean;
}

/** What the configuration in force at this node says of streams. */
export class StreamStatuses {
  /** Milliseconds that a request waits for a configuration that its sender has and this node lacks. */
  static readonly configurationWaitMs = 300;

  readonly #node: ClusterNode;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Whether the leader keeps the stream only in its memory. */
  isInMemory(stream: string): boolean {
    return !this.#node.configuration.isKept(stream);
  }

  /** The route of a topic; undefined if no contract covers the topic now. */
  routeOf(topic: string): StreamRoute | undefined {
    const { configuration } = this.#node.configuration;
    const isCovered = Configurations.contractFor(configuration, topic) !== undefined;
    return isCovered ? this.#node.configuration.route(topic) : undefined;
  }

  /**
   * The status of the stream that a request names. A sender with a later configuration is served at once if this node's
   * configuration says the same of the stream; if they differ, the later one counts.
   */
  ofRequest(route: StreamRoute | undefined, sender: SenderView): RequestStatus {
    const isSameStream = route !== undefined && route.spaceIncarnation === sender.spaceIncarnation;
    const isTreatedAlike = isSameStream && this.isInMemory(route.stream) !== sender.isKept;
    if (!isTreatedAlike && this.#node.configuration.version < sender.configurationVersion) return "unheard";
    return isSameStream ? "current" : "removed";
  }

  /** Like `ofRequest`, for a stream by its name. */
  ofStream(stream: string, sender: SenderView): RequestStatus {
    return this.ofRequest(this.routeOfStream(stream), sender);
  }

  /** Waits for the configurations that the senders of a request use, at most `configurationWaitMs`. */
  async waitForConfigurations(routes: ReadonlyArray<readonly [StreamRoute | undefined, SenderView]>): Promise<void> {
    const unheard = routes.filter(([route, sender]) => this.ofRequest(route, sender) === "unheard");
    if (unheard.length === 0) return;
    const version = Math.max(...unheard.map(([, sender]) => sender.configurationVersion));
    const { configuration, parts } = this.#node;
    await configuration.reached(version, parts.clock, StreamStatuses.configurationWaitMs);
  }

  /**
   * The status of a log that this node has. A space that is one stream has no earlier incarnation that could come back.
   */
  ofLog(log: StreamLog): LogStatus {
    const { stream, spaceIncarnation } = log;
    const route = this.routeOfStream(stream);
    if (route?.spaceIncarnation === 0) return "current";
    const isWhole = Streams.rootOf(stream) === Streams.topicOf(stream);
    if (!isWhole || spaceIncarnation > this.#node.configuration.version) return "uncovered";
    return route?.spaceIncarnation === spaceIncarnation ? "current" : "ended";
  }

  /** The route that leads to this stream; undefined if no contract has the stream now. */
  routeOfStream(stream: string): StreamRoute | undefined {
    const topic = Streams.topicOf(stream);
    const route = this.#node.configuration.route(topic);
    if (route?.stream !== stream) return undefined;
    return route.spaceIncarnation > 0 ? route : this.routeOf(topic);
  }
}
