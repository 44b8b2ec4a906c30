import type { MessageInitShape } from "@bufbuild/protobuf";
import type { PushSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** The fields of one push to an edge. */
type PushInit = MessageInitShape<typeof PushSchema>;

/**
 * Gathers what all shards of this node push in one event-loop turn into one frame for each edge.
 * Invariant: the pushes of one follow are sent in the order in which they were made.
 */
export class PushBatcher {
  readonly #node: ClusterNode;
  readonly #pushesByEdge = new Map<string, PushInit[]>();
  #tasks: Array<() => void> = [];
  #isRunningTasks = false;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Runs the task at the end of this event-loop turn, together with the tasks of the other shards. */
  runAtTurnEnd(task: () => void): void {
    if (this.#tasks.length === 0) this.#node.parts.clock.once(0, () => this.#runTasksAndSend());
    this.#tasks.push(task);
  }

  /** Sends a push to an edge: in one frame with that edge's other pushes while tasks run, immediately otherwise. */
  send(edge: string, push: PushInit): void {
    if (!this.#isRunningTasks) return this.#node.rpc.send(edge, { case: "push", value: push });
    const pushes = this.#pushesByEdge.get(edge);
    if (pushes === undefined) this.#pushesByEdge.set(edge, [push]);
    else pushes.push(push);
  }

  #runTasksAndSend(): void {
    const tasks = this.#tasks;
    this.#tasks = [];
    this.#isRunningTasks = true;
    for (const task of tasks) task();
    this.#isRunningTasks = false;
    for (const [edge, pushes] of this.#pushesByEdge) {
      if (pushes.length === 1) this.send(edge, pushes[0]!);
      else this.#node.rpc.send(edge, { case: "pushes", value: { pushes } });
    }
    this.#pushesByEdge.clear();
  }
}
