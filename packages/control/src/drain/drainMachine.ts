import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { drainRefusal } from "./drainCapacity.js";
import {
  drainProgress,
  drainStatusKeys,
  drainStatusOf,
  isDrainRequested,
  machinesInUse,
  requestsToDrop,
  type DrainStatus,
} from "./drainStatus.js";

/**
 * Requests of operators to drain a machine: recorded in the store, idempotent, and withdrawn by another call.
 * Invariants: a recorded request is acknowledged again whatever happens to the machine; no two requests are decided on
 * the same status, as each one is recorded on top of the previous one; a machine counts as empty only if a confirmed
 * read shows that it is no voter of the store, has no replica and leads no shard.
 */
export const DrainMachine = {
  /**
   * Recorded requests that are kept. Beyond this number the oldest requests are dropped whose machines are down and not
   * in use. A repeated request is therefore recognized until this many later requests were recorded.
   */
  maxRequests: 256,
  /** Attempts for a request, which is decided again when another request was recorded meanwhile. */
  maxAttempts: 4,

  /**
   * Records the request, unless it would violate a fault budget, and replies with the progress.
   * `rampSeconds`: how long the drain may take; recorded with the request.
   */
  async requestDrain(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReply> {
    for (let attempt = 0; attempt < DrainMachine.maxAttempts; attempt += 1) {
      const status = await readDrainStatus(node);
      if (status === undefined) return unavailableReply();
      if (isDrainRequested(status, name)) return progressReply(status, name);
      const refusal = drainRefusal(node, name, {
        draining: new Set(status.requests.map((kv) => DrainKey.machineOf(kv.key)!)),
        inUse: machinesInUse(status),
      });
      // A node that is cut off or has just started knows too few machines to refuse a request.
      if (refusal !== undefined) return node.feed.isFresh ? refusal : unavailableReply();
      const { outcome } = await node.store.txn({
        checks: [{ key: DrainKey.requestsKey, revision: status.lastRequestRevision }],
        puts: [
          { key: DrainKey.requestsKey, value: Buffer.from(name) },
          { key: DrainKey.of(name), value: DrainKey.write(rampSeconds) },
        ],
        deletes: requestsToDrop(status, DrainMachine.maxRequests, (machine) => node.membership.isAlive(machine)),
      });
      if (outcome === "done") return DrainMachine.progress(node, name);
      if (outcome === "unsure") return unknownOutcomeReply();
      if (outcome !== "conflict") return unavailableReply();
    }
    return unavailableReply();
  },

  /** Withdraws the request, if there is one, and replies with the progress. */
  async withdrawDrain(node: ClusterNode, name: string): Promise<ApiReply> {
    const txnOutcome = await node.store.txn({ deletes: [DrainKey.of(name)] });
    if (txnOutcome.outcome !== "done") return unknownOutcomeReply();
    return DrainMachine.progress(node, name);
  },

  /** Replies with what still depends on the machine, whether its drain was requested or not. */
  async progress(node: ClusterNode, name: string): Promise<ApiReply> {
    const status = await readDrainStatus(node);
    return status === undefined ? unavailableReply() : progressReply(status, name);
  },
};

async function readDrainStatus(node: ClusterNode): Promise<DrainStatus | undefined> {
  const readOutcome = await node.store.read([...drainStatusKeys.keys], [...drainStatusKeys.prefixes]);
  return readOutcome.outcome === "done" ? drainStatusOf(readOutcome.kvs!) : undefined;
}

/** The fields are those of the HTTP API v1; `isHolder` states that the machine leads a shard. */
function progressReply(status: DrainStatus, name: string): ApiReply {
  const { shardsLeft, isEmpty, isVoter, isLeader } = drainProgress(status, name);
  return ApiReplies.done({
    machine: name,
    isAsked: isDrainRequested(status, name),
    isEmpty,
    shardsLeft: shardsLeft.length,
    of: status.replicaSets.length,
    left: shardsLeft,
    isVoter,
    isHolder: isLeader,
  });
}

function unavailableReply(): ApiReply {
  return ApiReplies.unavailable("no majority of the control nodes answers");
}

function unknownOutcomeReply(): ApiReply {
  return ApiReplies.unknown("the control nodes did not answer in time; the same request again resolves it");
}
