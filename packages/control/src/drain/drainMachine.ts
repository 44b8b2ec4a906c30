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
  requestsToForget,
  type DrainStatus,
} from "./drainStatus.js";

/**
 * The operators' requests to drain a machine: recorded in the store, idempotent, withdrawn by a call.
 * Invariants: a request that was recorded is acknowledged again whatever has become of the machine; two requests are
 * never decided on the same status, each is recorded on top of the last; a machine is empty only where a confirmed
 * read shows no vote in the store, no replica and no shard led by it.
 */
export const DrainMachine = {
  /**
   * Requests that are kept. Beyond, the oldest are dropped whose machines are gone and not in use, so that a request
   * is recognized when it is repeated until so many later ones were recorded.
   */
  maxRequests: 256,
  /** How often a request is decided anew because another was recorded meanwhile. */
  maxAttempts: 4,

  /**
   * Records the request, unless a budget would be broken, and replies with the progress.
   * `rampSeconds`: how long the machine may take over it; recorded with the request.
   */
  async ask(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReply> {
    for (let attempt = 0; attempt < DrainMachine.maxAttempts; attempt += 1) {
      const status = await readDrainStatus(node);
      if (status === undefined) return unavailable();
      if (isDrainRequested(status, name)) return progressReply(status, name);
      const refusal = drainRefusal(node, name, {
        draining: new Set(status.requests.map((kv) => DrainKey.machineOf(kv.key)!)),
        inUse: machinesInUse(status),
      });
      // Whoever is cut off, or has just started, knows too few machines to refuse anything.
      if (refusal !== undefined) return node.feed.isFresh ? refusal : unavailable();
      const { outcome } = await node.store.txn({
        checks: [{ key: DrainKey.turn, revision: status.turnRevision }],
        puts: [
          { key: DrainKey.turn, value: Buffer.from(name) },
          { key: DrainKey.of(name), value: DrainKey.write(rampSeconds) },
        ],
        deletes: requestsToForget(status, DrainMachine.maxRequests, (machine) => node.membership.isAlive(machine)),
      });
      if (outcome === "done") return DrainMachine.progress(node, name);
      if (outcome === "unsure") return unknown();
      if (outcome !== "conflict") return unavailable();
    }
    return unavailable();
  },

  /** Withdraws the request, if there is one, and replies with the progress. */
  async undo(node: ClusterNode, name: string): Promise<ApiReply> {
    const written = await node.store.txn({ deletes: [DrainKey.of(name)] });
    if (written.outcome !== "done") return unknown();
    return DrainMachine.progress(node, name);
  },

  /** What still rests on the machine, whether its drain was requested or not. */
  async progress(node: ClusterNode, name: string): Promise<ApiReply> {
    const status = await readDrainStatus(node);
    return status === undefined ? unavailable() : progressReply(status, name);
  },
};

async function readDrainStatus(node: ClusterNode): Promise<DrainStatus | undefined> {
  const read = await node.store.read([...drainStatusKeys.keys], [...drainStatusKeys.prefixes]);
  return read.outcome === "done" ? drainStatusOf(read.kvs!) : undefined;
}

/** The fields are those of the HTTP API v1: `isHolder` says that the machine leads a shard. */
function progressReply(status: DrainStatus, name: string): ApiReply {
  const { left, isEmpty, isVoter, isLeader } = drainProgress(status, name);
  return ApiReplies.done({
    machine: name,
    isAsked: isDrainRequested(status, name),
    isEmpty,
    shardsLeft: left.length,
    of: status.replicaSets.length,
    left,
    isVoter,
    isHolder: isLeader,
  });
}

function unavailable(): ApiReply {
  return ApiReplies.unavailable("no majority of the control nodes answers");
}

function unknown(): ApiReply {
  return ApiReplies.unknown("the control nodes did not answer in time; the same request again resolves it");
}
