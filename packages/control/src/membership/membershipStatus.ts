import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/**
 * Whether this control node, which has a log of the store, is a member of it. One that was taken out, perhaps while it
 * was
 * away, hears of it from the others, stands by, and is in the store again once a leader speaks to it.
 */
export class MembershipStatus {
  /** How often a control node that stands by asks again: it has to be known when a voter is lost. */
  static readonly tickIntervalMs = 500;
  static readonly silentMs = 1500;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  #inTouchAt: number;
  #isAsking = false;

  constructor(node: ClusterNode, raft: RaftNode) {
    this.#node = node;
    this.#raft = raft;
    this.#inTouchAt = node.parts.clock.now();
    this.#set(true);
    node.parts.clock.every(MembershipStatus.tickIntervalMs, () => void this.#tick());
  }

  /** Asks to be taken in, or kept in mind; returns what the store says. */
  static async ask(node: ClusterNode, controlNode: string, id: string): Promise<string> {
    const join = { id, name: node.parts.settings.name };
    const call = { case: "join" as const, value: join };
    const body = await node.rpc.call(controlNode, { case: "storeCall", value: { call } }, 1000);
    return body?.case === "storeReply" ? body.value.outcome : "away";
  }

  async #tick(): Promise<void> {
    const { clock } = this.#node.parts;
    if (this.#raft.isInTouch) {
      this.#inTouchAt = clock.now();
      return this.#set(true);
    }
    if (this.#isAsking || clock.now() - this.#inTouchAt < MembershipStatus.silentMs) return;
    const { rpc, membership } = this.#node;
    const other = membership
      .alive(nodeRole.control)
      .find((one) => one.isInStore && one.name !== rpc.name && !rpc.isUnresponsive(one.name));
    if (other === undefined) return;
    this.#isAsking = true;
    const outcome = await MembershipStatus.ask(this.#node, other.name, this.#raft.id);
    this.#isAsking = false;
    if (outcome !== "standby" || this.#raft.isInTouch) return;
    this.#raft.standBy();
    this.#set(false);
  }

  #set(isInStore: boolean): void {
    const { membership } = this.#node;
    if (membership.self.isInStore === isInStore) return;
    membership.self.isInStore = isInStore;
    membership.gossipNow();
  }
}
