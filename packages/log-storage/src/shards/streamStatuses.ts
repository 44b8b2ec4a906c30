import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { Streams, type StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StreamLog } from "./streamLog.js";

/**
 * What the configuration in force at this node says of a stream that a request names: it is in force here; `unheard`,
 * this node has not heard of the configuration that the sender goes by; or there is none such.
 */
export type RequestStatus = "current" | "unheard" | "removed";

/**
 * Whether a log is that of a stream in force; of a stream that no contract covers now, but may again; or of one that
 * can't come back: that of a space that was removed, or has begun anew.
 */
export type LogStatus = "current" | "uncovered" | "ended";

/** What a request says of the configuration that its sender goes by. */
export interface SenderView {
  readonly configurationVersion: number;
  readonly spaceIncarnation: number;
  readonly isKept: boolean;
}

/** What the configuration in force at this node says of streams. */
export class StreamStatuses {
  /** Milliseconds that a request waits for a configuration that its sender has and this node has not. */
  static readonly waitMs = 300;

  readonly #node: ClusterNode;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Whether the leader keeps the stream in its memory alone. */
  isInMemory(stream: string): boolean {
    return !this.#node.configuration.isKept(stream);
  }

  /** The stream of a topic that has a contract now. */
  routeOf(topic: string): StreamRoute | undefined {
    const { configuration } = this.#node.configuration;
    const isCovered = Configurations.contractFor(configuration, topic) !== undefined;
    return isCovered ? this.#node.configuration.route(topic) : undefined;
  }

  /**
   * A sender that goes by a later configuration is heeded at once where this node's says the same of the stream. Of two
   * that differ, the later one counts.
   */
  ofRequest(route: StreamRoute | undefined, sender: SenderView): RequestStatus {
    const isSameStream = route !== undefined && route.spaceIncarnation === sender.spaceIncarnation;
    const isSame = isSameStream && this.isInMemory(route.stream) !== sender.isKept;
    if (!isSame && this.#node.configuration.version < sender.configurationVersion) return "unheard";
    return isSameStream ? "current" : "removed";
  }

  /** The same of a stream by its name. */
  ofStream(stream: string, sender: SenderView): RequestStatus {
    return this.ofRequest(this.routeOfStream(stream), sender);
  }

  /** Waits for the configurations that the senders of a request go by, but not for long. */
  async heard(routes: ReadonlyArray<readonly [StreamRoute | undefined, SenderView]>): Promise<void> {
    const unheard = routes.filter(([route, sender]) => this.ofRequest(route, sender) === "unheard");
    if (unheard.length === 0) return;
    const version = Math.max(...unheard.map(([, sender]) => sender.configurationVersion));
    const { configuration, parts } = this.#node;
    await configuration.reached(version, parts.clock, StreamStatuses.waitMs);
  }

  /** What becomes of a log that is here. A space that is one stream has no earlier one to come back to. */
  ofLog(log: StreamLog): LogStatus {
    const { stream, spaceIncarnation } = log;
    const route = this.routeOfStream(stream);
    if (route?.spaceIncarnation === 0) return "current";
    const isWhole = Streams.rootOf(stream) === Streams.topicOf(stream);
    if (!isWhole || spaceIncarnation > this.#node.configuration.version) return "uncovered";
    return route?.spaceIncarnation === spaceIncarnation ? "current" : "ended";
  }

  /** The route that has this stream; undefined where no contract has it now. */
  routeOfStream(stream: string): StreamRoute | undefined {
    const topic = Streams.topicOf(stream);
    const route = this.#node.configuration.route(topic);
    if (route?.stream !== stream) return undefined;
    return route.spaceIncarnation > 0 ? route : this.routeOf(topic);
  }
}
