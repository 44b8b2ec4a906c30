import type { StoreCall } from "@cranetrack/core/gen/cranetrack_pb.js";
import { mayRepeatStoreCall } from "@cranetrack/core/rpc/callKinds.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StoreOutcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * Forwards store calls to the leader. A call that was already forwarded is not forwarded again.
 * Outcomes: `away`, the call was not and will not be executed; `unsure`, it may have been executed.
 */
export class LeaderForwarding {
  /** Lease renewals wait longer than other calls, as a lost lease costs more than a late reply. */
  static readonly #renewTimeoutMs = 800;
  static readonly #timeoutMs = 450;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #retry: (calls: StoreCall[]) => Promise<StoreOutcome[]>;

  /** `retry` executes calls at the next leader, which may be this control node itself. */
  constructor(node: ClusterNode, raft: RaftNode, retry: (calls: StoreCall[]) => Promise<StoreOutcome[]>) {
    this.#node = node;
    this.#raft = raft;
    this.#retry = retry;
  }

  /** The outcome of each call, in the order of the calls. */
  async forward(calls: StoreCall[]): Promise<StoreOutcome[]> {
    const sameForAll = (outcome: StoreOutcome): StoreOutcome[] => calls.map(() => outcome);
    const leader = this.#raft.leaderName;
    if (calls.some((call) => call.isForwarded) || leader === "" || leader === this.#node.rpc.name)
      return sameForAll({ outcome: "away", retryAfterSeconds: 1, reason: "no leader is known" });
    const kinds = new Set(calls.map((call) => call.call.case));
    const isRepeatable = calls.every((call) => mayRepeatStoreCall(call.call.case));
    const pendingReply = this.#node.rpc.call(
      leader,
      { case: "storeBatch", value: { calls: calls.map(({ call }) => ({ call, isForwarded: true })) } },
      kinds.has("renew") ? LeaderForwarding.#renewTimeoutMs : LeaderForwarding.#timeoutMs,
    );
    // Repeatable calls do not wait for a deposed leader's reply: they are retried as soon as there is a new leader.
    const reply = await (isRepeatable ? this.#replyOrLeaderChange(pendingReply) : pendingReply);
    if (reply === "leader-changed") return this.#retry(calls);
    if (reply?.case === "storeBatchReply" && reply.value.replies.length === calls.length) return reply.value.replies;
    return sameForAll({ outcome: "unsure", retryAfterSeconds: 0.5 });
  }

  /** The reply, or `leader-changed` if another leader, maybe this control node, is elected first. */
  #replyOrLeaderChange<T>(reply: Promise<T>): Promise<T | "leader-changed"> {
    return new Promise((resolve) => {
      const finish = (result: T | "leader-changed"): void => {
        this.#raft.off("led", onLeader);
        this.#raft.off("elected", onLeader);
        resolve(result);
      };
      const onLeader = (): void => finish("leader-changed");
      this.#raft.on("led", onLeader);
      this.#raft.on("elected", onLeader);
      void reply.then(finish);
    });
  }
}
