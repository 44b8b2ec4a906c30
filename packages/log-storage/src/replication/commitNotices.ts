import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CommitSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

type Commit = MessageInitShape<typeof CommitSchema>;

/** A replica that has all that is committed and was not told so. */
export interface UnnotifiedReplica {
  /** Its disk's identity, and the name of its machine. */
  readonly id: string;
  readonly name: string;
  readonly commit: Commit;
}

/** A shard's log whose replicas are told of commits. */
export interface CommitSource {
  /** Each replica is listed once a commit: it counts as told from then on. */
  unnotified(): readonly UnnotifiedReplica[];
}

/**
 * Tells replicas what was committed, without waiting for the next entry: all shards held here, one frame to each
 * replica's machine at the end of an event-loop turn. Whoever was told meanwhile by an append is sent nothing.
 * A notice is not answered and not repeated: the next append, or the idle beat, says the same.
 */
export class CommitNotices {
  readonly #node: ClusterNode;
  readonly #sources = new Set<CommitSource>();

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  add(source: CommitSource): void {
    if (this.#sources.size === 0) this.#node.parts.clock.once(0, () => this.#sendAll());
    this.#sources.add(source);
  }

  #sendAll(): void {
    const byReplica = new Map<string, { name: string; commits: Commit[] }>();
    for (const source of this.#sources) {
      for (const { id, name, commit } of source.unnotified()) {
        const found = byReplica.get(id);
        if (found === undefined) byReplica.set(id, { name, commits: [commit] });
        else found.commits.push(commit);
      }
    }
    this.#sources.clear();
    for (const [receiver, { name, commits }] of byReplica)
      this.#node.rpc.send(name, { case: "commits", value: { receiver, commits } });
  }
}
