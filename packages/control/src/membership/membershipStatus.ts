import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * Whether this control node, which has a log of the store, is a member of it. One that was taken out, perhaps while it
 * was
 * away, hears of it from the others, stands by, and is in the store again once a leader speaks to it.
 */
export class MembershipStatus {
  /** How often a control node that stands by asks again: it has to be known when a voter is lost. */
  static readonly tickIntervalMs = 500;
  static readonly maxSilenceMs = 1500;

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

  /** Asks to be taken in, or kept in mind; returns what the store says. */
  static async requestJoin(node: ClusterNode, controlNode: string, id: string): Promise<string> {
    const join = { id, name: node.parts.settings.name };
    const call = { case: "join" as const, value: join };
    const body = await node.rpc.call(controlNode, { case: "storeCall", value: { call } }, 1000);
    return body?.case === "storeReply" ? body.value.outcome : "away";
  }

  async #tick(): Promise<void> {
    const { clock } = this.#node.parts;
    if (this.#raft.isInTouch) {
      this.#lastContactAt = clock.now();
      return this.#setInStore(true);
    }
    if (this.#isRequesting || clock.now() - this.#lastContactAt < MembershipStatus.maxSilenceMs) return;
    const { rpc, membership } = this.#node;
    const other = membership
      .alive("lathe")
      .find((member) => member.isInStore && member.name !== rpc.name && !rpc.isUnresponsive(member.name));
    if (other === undefined) return;
    this.#isRequesting = true;
    const outcome = await MembershipStatus.requestJoin(this.#node, other.name, this.#raft.id);
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
