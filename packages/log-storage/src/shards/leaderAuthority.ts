import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "./shardLeader.js";

/**
 * Whether a shard's leader may act now: accept, push and answer. Every handler asks again after each wait, as its
 * leadership may have ended meanwhile.
 * Invariant: true only while the leader serves its epoch, the lease that its key is under is held, and the feed is
 * fresh, so that neither a later epoch nor a newer configuration can have been in force for long without its knowing.
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

  /** To be asked anew whenever something was waited for. */
  get isOpen(): boolean {
    return this.#leader.isServing && this.#isLeaseHeld() && this.#node.feed.isFresh;
  }
}
