import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/**
 * Tracks whether this control node, which has a log of the store, is a member of it. A node that was removed, perhaps
 * while it was down, finds this out from the other control nodes and becomes a standby. It is a member again once a
 * leader contacts it.
 */
export class MembershipStatus {
  /** How often a standby repeats its request to join: the leader has to know of it when a voter is lost. */
  static readonly tickIntervalMs = 500;
  /** After this long without contact to a leader, the node asks whether it is still a member. */
  static readonly contactTimeoutMs = 1500;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  #lastContactAt: number;
  #isRequesting = false;

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#node = node;
    this.#raft = raft;
    this.#lastContactAt = node.parts.clock.now();
    this.#setInStore(true);
    node.parts.clock.every(MembershipStatus.tickIntervalMs, () => void this.#tick());
  }

  /**
   * Asks the store to admit this control node or remember it as a standby; returns the outcome, `away` if no answer.
   */
  static async requestJoin(node: ClusterNode, receiver: string, id: string): Promise<string> {
    const join = { id, name: node.parts.settings.name };
    const call = { case: "join" as const, value: join };
    const body = await node.rpc.call(receiver, { case: "storeCall", value: { call } }, 1000);
    return body?.case === "storeReply" ? body.value.outcome : "away";
  }

  async #tick(): Promise<void> {
    const { clock } = this.#node.parts;
    if (this.#raft.isInTouch) {
      this.#lastContactAt = clock.now();
      return this.#setInStore(true);
    }
    if (this.#isRequesting || clock.now() - this.#lastContactAt < MembershipStatus.contactTimeoutMs) return;
    const { rpc, membership } = this.#node;
    const otherMember = membership
      .alive(nodeRole.control)
      .find((member) => member.isInStore && member.name !== rpc.name && !rpc.isUnresponsive(member.name));
    if (otherMember === undefined) return;
    this.#isRequesting = true;
    const outcome = await MembershipStatus.requestJoin(this.#node, otherMember.name, this.#raft.diskId);
    this.#isRequesting = false;
    if (outcome !== "standby" || this.#raft.isInTouch) return;
    this.#raft.standBy();
    this.#setInStore(false);
  }

  #setInStore(isInStore: boolean): void {
    const { membership } = this.#node;
    if (membership.self.isInStore === isInStore) return;
    membership.self.isInStore = isInStore;
    membership.gossipNow();
  }
}
