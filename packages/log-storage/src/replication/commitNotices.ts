import type { MessageInitShape } from "@bufbuild/protobuf";
import type { CommitSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** How far a shard's log is committed, in the form in which replicas are notified of it. */
type Commit = MessageInitShape<typeof CommitSchema>;

/** A replica that has every committed entry and was not notified of the commit. */
export interface UnnotifiedReplica {
  /** Identity of the replica's disk. */
  readonly id: string;
  /** Name of the replica's machine. */
  readonly name: string;
  readonly commit: Commit;
}

/** A shard's log whose replicas are notified of commits. */
export interface CommitSource {
  /** Returns the replicas to notify; they count as notified from then on, so each is returned once per commit. */
  unnotified(): readonly UnnotifiedReplica[];
}

/**
 * Notifies replicas of commits without waiting for the next entry: one frame to each replica's machine at the end of an
 * event-loop turn, for all shards led here. A replica that was notified by an append in the meantime is sent nothing.
 * Notices are not answered and not repeated: the next append or idle heartbeat states the same commit index.
 */
export class CommitNotices {
  readonly #node: ClusterNode;
  readonly #sources = new Set<CommitSource>();

  constructor(node: ClusterNode) {
    this.#node = node;
  }

  /** Schedules notices to the replicas of a log that has new committed entries, for the end of this turn. */
  add(source: CommitSource): void {
    if (this.#sources.size === 0) this.#node.parts.clock.once(0, () => this.#sendAll());
    this.#sources.add(source);
  }

  #sendAll(): void {
    const byReplica = new Map<string, { name: string; commits: Commit[] }>();
    for (const source of this.#sources) {
      for (const { id, name, commit } of source.unnotified()) {
        const batch = byReplica.get(id);
        if (batch === undefined) byReplica.set(id, { name, commits: [commit] });
        else batch.commits.push(commit);
      }
    }
    this.#sources.clear();
    for (const [receiver, { name, commits }] of byReplica)
      this.#node.rpc.send(name, { case: "commits", value: { receiver, commits } });
  }
}
