import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "./shardLeader.js";

/**
 * Tells whether a shard's leader may act now: accept, push and answer. Every handler checks again after each wait,
 * because the leadership may have ended meanwhile.
 * Invariant: true only while the leader serves its epoch, the lease that its key is bound to is held, and the feed is
 * fresh, so that neither a later epoch nor a newer configuration can have been in force for long without this node
 * knowing it.
 */
export class LeaderAuthority {
  readonly #node: ClusterNode;
  readonly #leader: ShardLeader;
  readonly #isLeaseHeld: () => boolean;

  constructor(node: ClusterNode, leader: ShardLeader, isLeaseHeld: () => boolean) {
    this.#node = node;
    this.#leader = leader;
    this.#isLeaseHeld = isLeaseHeld;
  }

  /** Has to be checked again after every wait. */
  get isAuthorized(): boolean {
    return this.#leader.isServing && this.#isLeaseHeld() && this.#node.feed.isFresh;
  }
}
