import { keepsNothing } from "@cranetrack/core/configuration/keepsNothing.js";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** What the configuration that this node has taken up says of streams and of incarnations of their spaces. */
export class StreamStatuses {
  readonly #node: ClusterNode;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Whether the leader keeps the stream in its memory alone. */
  isInMemory(stream: string): boolean {
    return keepsNothing(this.#node.configuration.configuration, stream);
  }

  /**
   * What this node's configuration, in which a topic's space has the incarnation `present`, says of another incarnation
   * of it: whether
   * it is in force, was removed, is older than the one in force, or newer than all that this node has heard of.
   */
  ofIncarnation(present: number | undefined, spaceIncarnation: number): "ours" | "behind" | "older" | "gone" {
    if (this.#node.configuration.version < spaceIncarnation) return "behind";
    if (present === spaceIncarnation) return "ours";
    if (present === undefined) return "gone";
    return spaceIncarnation < present ? "older" : "behind";
  }

  /** The same for a stream, which is gone too where no rule owes its topic, or another space or order has it. */
  ofStream(stream: string, spaceIncarnation: number): "ours" | "behind" | "gone" {
    const { configuration } = this.#node.configuration;
    const status = this.ofIncarnation(this.#node.configuration.spaceIncarnationOf(stream), spaceIncarnation);
    if (status === "older") return "gone";
    if (status !== "ours") return status;
    const isSpaceOrdered = Configurations.orderOf(configuration, Streams.spaceOf(stream)) === "space";
    return isSpaceOrdered || Configurations.contractFor(configuration, Streams.topicOf(stream)) !== undefined
      ? "ours"
      : "gone";
  }
}
