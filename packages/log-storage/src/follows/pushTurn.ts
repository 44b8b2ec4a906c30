import type { MessageInitShape } from "@bufbuild/protobuf";
import type { PushSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

type PushInit = MessageInitShape<typeof PushSchema>;

/**
 * What all shards held here push in one event-loop turn: one frame to each edge.
 * Invariant: pushes of one follow leave in their order.
 */
export class PushBatcher {
  readonly #node: ClusterNode;
  readonly #byEdge = new Map<string, PushInit[]>();
  #tasks: Array<() => void> = [];
  #isRunning = false;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Runs at the end of this turn, with all others' acts. */
  runAtTurnEnd(task: () => void): void {
    if (this.#tasks.length === 0) this.#node.parts.clock.once(0, () => this.#runTurn());
    this.#tasks.push(task);
  }

  send(edge: string, push: PushInit): void {
    if (!this.#isRunning) return this.#node.rpc.send(edge, { case: "push", value: push });
    const pushes = this.#byEdge.get(edge);
    if (pushes === undefined) this.#byEdge.set(edge, [push]);
    else pushes.push(push);
  }

  #runTurn(): void {
    const tasks = this.#tasks;
    this.#tasks = [];
    this.#isRunning = true;
    for (const task of tasks) task();
    this.#isRunning = false;
    for (const [edge, pushes] of this.#byEdge) {
      if (pushes.length === 1) this.send(edge, pushes[0]!);
      else this.#node.rpc.send(edge, { case: "pushes", value: { pushes } });
    }
    this.#byEdge.clear();
  }
}
