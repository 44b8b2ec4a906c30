import type { StoreCall } from "@cranetrack/core/gen/cranetrack_pb.js";
import { mayRepeatStoreCall } from "@cranetrack/core/rpc/callKinds.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Outcome } from "@cranetrack/core/store/storeClient.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * Sends store calls that only the leader can answer on to it, once: a call that was forwarded is not forwarded again.
 * Outcomes: `away`, not done and never will be; `unsure`, may have been done.
 */
export class LeaderForwarding {
  /** A renewal waits longer than other calls: a lease that is lost costs more than a late reply. */
  static readonly #renewTimeoutMs = 800;
  static readonly #timeoutMs = 450;

  readonly #node: ClusterNode;
  readonly #raft: RaftNode;
  readonly #runAgain: (calls: StoreCall[]) => Promise<Outcome[]>;

  /** `runAgain`: runs calls at the next leader, which may be this control node itself. */
  constructor(node: ClusterNode, raft: RaftNode, runAgain: (calls: StoreCall[]) => Promise<Outcome[]>) {
    this.#node = node;
    this.#raft = raft;
    this.#runAgain = runAgain;
  }

  /** An outcome for each call, in their order. */
  async forward(calls: StoreCall[]): Promise<Outcome[]> {
    const all = (outcome: Outcome): Outcome[] => calls.map(() => outcome);
    const leader = this.#raft.leaderName;
    if (calls.some((call) => call.isForwarded) || leader === "" || leader === this.#node.rpc.name)
      return all({ outcome: "away", retryAfterSeconds: 1, reason: "no leader is known" });
    const kinds = new Set(calls.map((call) => call.call.case));
    const isRepeatable = calls.every((call) => mayRepeatStoreCall(call.call.case));
    const forwarded = this.#node.rpc.call(
      leader,
      { case: "storeBatch", value: { calls: calls.map(({ call }) => ({ call, isForwarded: true })) } },
      kinds.has("renew") ? LeaderForwarding.#renewTimeoutMs : LeaderForwarding.#timeoutMs,
    );
    // What may be repeated may as well be asked of the next leader, once there is one.
    const body = await (isRepeatable ? this.#unlessLeaderChanges(forwarded) : forwarded);
    if (body === "leader-changed") return this.#runAgain(calls);
    if (body?.case === "storeBatchReply" && body.value.replies.length === calls.length) return body.value.replies;
    return all({ outcome: "unsure", retryAfterSeconds: 0.5 });
  }

  /** The reply, or word that there is another leader by now: maybe this control node itself. */
  #unlessLeaderChanges<T>(reply: Promise<T>): Promise<T | "leader-changed"> {
    return new Promise((resolve) => {
      const end = (first: T | "leader-changed"): void => {
        this.#raft.off("led", onLeader);
        this.#raft.off("elected", onLeader);
        resolve(first);
      };
      const onLeader = (): void => end("leader-changed");
      this.#raft.on("led", onLeader);
      this.#raft.on("elected", onLeader);
      void reply.then(end);
    });
  }
}
