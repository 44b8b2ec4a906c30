import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CommitSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Holder } from "../shards/holder.js";

/**
 * Tells replicas what was committed, without waiting for the next entry: all shards held here, one frame to each
 * replica's machine at the end of an event-loop turn. Whoever was told meanwhile by an append is sent nothing.
 * A notice is not answered and not repeated: the next append, or the idle beat, says the same.
 */
export class CommitTurn {
  readonly #node: ClusterNode;
  readonly #holders = new Set<Holder>();

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  add(holder: Holder): void {
    if (this.#holders.size === 0) this.#node.parts.clock.once(0, () => this.#run());
    this.#holders.add(holder);
  }

  #run(): void {
    const gathered = new Map<string, { name: string; commits: Array<MessageInitShape<typeof CommitSchema>> }>();
    for (const holder of this.#holders) {
      for (const { id, name, commit } of holder.untold()) {
        const found = gathered.get(id);
        if (found === undefined) gathered.set(id, { name, commits: [commit] });
        else found.commits.push(commit);
      }
    }
    this.#holders.clear();
    for (const [receiver, { name, commits }] of gathered)
      this.#node.exchange.tell(name, { case: "commits", value: { receiver, commits } });
  }
}
