import type { MessageInitShape } from "@bufbuild/protobuf";
import type { PushSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

type PushInit = MessageInitShape<typeof PushSchema>;

/**
 * What all shards held here push in one event-loop turn: one frame to each edge.
 * Invariant: pushes of one follow leave in their order.
 */
export class PushTurn {
  readonly #node: ClusterNode;
  readonly #gathered = new Map<string, PushInit[]>();
  #acts: Array<() => void> = [];
  #isRunning = false;

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Runs at the end of this turn, with all others' acts. */
  atEnd(act: () => void): void {
    if (this.#acts.length === 0) this.#node.parts.clock.once(0, () => this.#run());
    this.#acts.push(act);
  }

  tell(edge: string, push: PushInit): void {
    if (!this.#isRunning) return this.#node.rpc.send(edge, { case: "push", value: push });
    const list = this.#gathered.get(edge);
    if (list === undefined) this.#gathered.set(edge, [push]);
    else list.push(push);
  }

  #run(): void {
    const acts = this.#acts;
    this.#acts = [];
    this.#isRunning = true;
    for (const act of acts) act();
    this.#isRunning = false;
    for (const [edge, pushes] of this.#gathered) {
      if (pushes.length === 1) this.tell(edge, pushes[0]!);
      else this.#node.rpc.send(edge, { case: "pushes", value: { pushes } });
    }
    this.#gathered.clear();
  }
}
