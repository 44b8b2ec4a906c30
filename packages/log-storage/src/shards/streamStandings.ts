import { keepsNothing } from "@cranetrack/core/configuration/keepsNothing.js";
import { Plans } from "@cranetrack/core/configuration/configuration.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** What the plan that this node has taken up says of streams and of births of their spaces. */
export class StreamStandings {
  readonly #node: ClusterNode;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Whether the holder keeps the stream in its memory alone. */
  isInMemory(stream: string): boolean {
    return keepsNothing(this.#node.plan.plan, stream);
  }

  /**
   * What this node's plan, in which a topic's space has the birth `present`, says of another birth of it: whether
   * it is in force, was removed, is older than the one in force, or newer than all that this node has heard of.
   */
  ofBirth(present: number | undefined, spaceBirth: number): "ours" | "behind" | "older" | "gone" {
    if (this.#node.plan.mark < spaceBirth) return "behind";
    if (present === spaceBirth) return "ours";
    if (present === undefined) return "gone";
    return spaceBirth < present ? "older" : "behind";
  }

  /** The same for a stream, which is gone too where no rule owes its topic, or another space or order has it. */
  of(stream: string, spaceBirth: number): "ours" | "behind" | "gone" {
    const { plan } = this.#node.plan;
    const standing = this.ofBirth(this.#node.plan.spaceBirthOf(stream), spaceBirth);
    if (standing === "older") return "gone";
    if (standing !== "ours") return standing;
    const isWhole = Plans.orderOf(plan, Streams.spaceOf(stream)) === "space";
    return isWhole || Plans.owed(plan, Streams.topicOf(stream)) !== undefined ? "ours" : "gone";
  }
}
