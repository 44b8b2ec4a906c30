import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { drainRefusal } from "./drainCapacity.js";

/** What a confirmed read of the store says about drains and about what rests on machines. */
interface DrainStatus {
  requests: Kv[];
  turnRevision: number;
  replicaSets: Array<{ shard: number; names: string[] }>;
  leaders: Set<string>;
  /** Undefined where the leader is of a build that does not tell. */
  voters: string[] | undefined;
}

/**
 * The operators' wish to have a machine drained: kept, repeatable, undone by asking.
 * Invariants: a wish that was recorded is acknowledged again whatever has become of the machine; two wishes are never
 * judged against the same machines, each is recorded on top of the last; a machine is empty only where a confirmed
 * read shows no vote in the store, no replica and no shard held by it.
 */
export const DrainMachine = {
  /**
   * Wishes that are kept. Beyond, the oldest are dropped whose machines are gone and hold nothing, so that an order
   * is known again until so many later ones were taken.
   */
  maxRequests: 256,
  /** How often a wish is judged anew because another was recorded meanwhile. */
  maxAttempts: 4,

  /** `rampSeconds`: how long the machine may take over it; kept with the wish. */
  async ask(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReply> {
    for (let attempt = 0; attempt < DrainMachine.maxAttempts; attempt += 1) {
      const status = await readDrainStatus(node);
      if (status === undefined) return unavailable();
      if (isRequested(status, name)) return progressOf(status, name);
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
        deletes: requestsToForget(node, status),
      });
      if (outcome === "done") return DrainMachine.progress(node, name);
      if (outcome === "unsure")
        return ApiReplies.unknown("the control nodes did not answer in time; the same request again settles it");
      if (outcome !== "conflict") return unavailable();
    }
    return unavailable();
  },

  async undo(node: ClusterNode, name: string): Promise<ApiReply> {
    const written = await node.store.txn({ deletes: [DrainKey.of(name)] });
    if (written.outcome !== "done")
      return ApiReplies.unknown("the control nodes did not answer in time; the same request again settles it");
    return DrainMachine.progress(node, name);
  },

  async progress(node: ClusterNode, name: string): Promise<ApiReply> {
    const status = await readDrainStatus(node);
    return status === undefined ? unavailable() : progressOf(status, name);
  },
};

const unavailable = (): ApiReply => ApiReplies.unavailable("no majority of the control nodes answers");
const isRequested = ({ requests }: DrainStatus, name: string): boolean =>
  requests.some((kv) => kv.key === DrainKey.of(name));

async function readDrainStatus(node: ClusterNode): Promise<DrainStatus | undefined> {
  const read = await node.store.read([MembersKey.name, DrainKey.turn], ["shards/", "machines/"]);
  if (read.outcome !== "done") return undefined;
  const kvs = read.kvs!;
  const members = kvs.find((kv) => kv.key === MembersKey.name);
  const leaders = kvs
    .filter((kv) => kv.key.startsWith("shards/") && kv.key.endsWith("/holder"))
    .map((kv) => ShardLeaderKey.read(kv.value)?.name ?? "");
  const replicaSets = kvs
    .filter((kv) => kv.key.endsWith("/replicas"))
    .map((kv) => ({
      shard: Number(kv.key.split("/")[1]),
      names: (ReplicasKey.read(kv.value)?.members ?? []).map((member) => member.name),
    }));
  return {
    requests: kvs.filter((kv) => DrainKey.machineOf(kv.key) !== undefined),
    turnRevision: kvs.find((kv) => kv.key === DrainKey.turn)?.revision ?? 0,
    replicaSets,
    leaders: new Set(leaders),
    voters: members === undefined ? undefined : MembersKey.read(members.value)?.voters,
  };
}

function machinesInUse({ replicaSets, leaders, voters }: DrainStatus): Set<string> {
  return new Set([...replicaSets.flatMap((set) => set.names), ...leaders, ...(voters ?? [])]);
}

function progressOf(status: DrainStatus, name: string): ApiReply {
  const { replicaSets, leaders, voters } = status;
  const left = replicaSets
    .filter((set) => set.names.includes(name))
    .map((set) => set.shard)
    .sort((a, b) => a - b);
  const isVoter = voters?.includes(name) ?? true;
  const isLeader = leaders.has(name);
  return ApiReplies.done({
    machine: name,
    isAsked: isRequested(status, name),
    isEmpty: left.length === 0 && !isLeader && !isVoter,
    shardsLeft: left.length,
    of: replicaSets.length,
    left,
    isVoter,
    isHolder: isLeader,
  });
}

/** The keys of the oldest wishes beyond the bound whose machines have left and hold nothing. */
function requestsToForget({ membership }: ClusterNode, status: DrainStatus): string[] {
  const surplus = status.requests.length + 1 - DrainMachine.maxRequests;
  if (surplus <= 0 || status.voters === undefined) return [];
  const used = machinesInUse(status);
  return status.requests
    .filter((kv) => !used.has(DrainKey.machineOf(kv.key)!) && !membership.isAlive(DrainKey.machineOf(kv.key)!))
    .sort((a, b) => a.revision - b.revision)
    .slice(0, surplus)
    .map((kv) => kv.key);
}
