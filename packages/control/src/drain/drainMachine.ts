import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { MembersKey } from "@cranetrack/core/keys/membersKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { drainRefusal } from "./drainCapacity.js";

/** What a confirmed read of the store says about drains and about what rests on machines. */
interface Standing {
  wishes: Kv[];
  turn: number;
  sets: Array<{ shard: number; names: string[] }>;
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
  maxWishes: 256,
  /** How often a wish is judged anew because another was recorded meanwhile. */
  maxAttempts: 4,

  /** `rampSeconds`: how long the machine may take over it; kept with the wish. */
  async ask(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReply> {
    for (let tries = 0; tries < DrainMachine.maxAttempts; tries += 1) {
      const standing = await readStanding(node);
      if (standing === undefined) return unavailable();
      if (isWished(standing, name)) return progressOf(standing, name);
      const refusal = drainRefusal(node, name, {
        draining: new Set(standing.wishes.map((kv) => DrainKey.machineOf(kv.key)!)),
        inUse: inUse(standing),
      });
      // Whoever is cut off, or has just started, knows too few machines to refuse anything.
      if (refusal !== undefined) return node.feed.isFresh ? refusal : unavailable();
      const { outcome } = await node.store.txn({
        checks: [{ key: DrainKey.turn, revision: standing.turn }],
        puts: [
          { key: DrainKey.turn, value: Buffer.from(name) },
          { key: DrainKey.of(name), value: DrainKey.write(rampSeconds) },
        ],
        deletes: outlived(node, standing),
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
    const standing = await readStanding(node);
    return standing === undefined ? unavailable() : progressOf(standing, name);
  },
};

const unavailable = (): ApiReply => ApiReplies.unavailable("no majority of the control nodes answers");
const isWished = ({ wishes }: Standing, name: string): boolean => wishes.some((kv) => kv.key === DrainKey.of(name));

async function readStanding(node: ClusterNode): Promise<Standing | undefined> {
  const read = await node.store.read([MembersKey.name, DrainKey.turn], ["shards/", "machines/"]);
  if (read.outcome !== "done") return undefined;
  const kvs = read.kvs!;
  const members = kvs.find((kv) => kv.key === MembersKey.name);
  const leaders = kvs
    .filter((kv) => kv.key.startsWith("shards/") && kv.key.endsWith("/holder"))
    .map((kv) => ShardLeaderKey.read(kv.value)?.name ?? "");
  const sets = kvs
    .filter((kv) => kv.key.endsWith("/replicas"))
    .map((kv) => ({
      shard: Number(kv.key.split("/")[1]),
      names: (ReplicasKey.read(kv.value)?.members ?? []).map((member) => member.name),
    }));
  return {
    wishes: kvs.filter((kv) => DrainKey.machineOf(kv.key) !== undefined),
    turn: kvs.find((kv) => kv.key === DrainKey.turn)?.revision ?? 0,
    sets,
    leaders: new Set(leaders),
    voters: members === undefined ? undefined : MembersKey.read(members.value)?.voters,
  };
}

function inUse({ sets, leaders, voters }: Standing): Set<string> {
  return new Set([...sets.flatMap((set) => set.names), ...leaders, ...(voters ?? [])]);
}

function progressOf(standing: Standing, name: string): ApiReply {
  const { sets, leaders, voters } = standing;
  const left = sets
    .filter((set) => set.names.includes(name))
    .map((set) => set.shard)
    .sort((a, b) => a - b);
  const isVoter = voters?.includes(name) ?? true;
  const isLeader = leaders.has(name);
  return ApiReplies.done({
    machine: name,
    isAsked: isWished(standing, name),
    isEmpty: left.length === 0 && !isLeader && !isVoter,
    shardsLeft: left.length,
    of: sets.length,
    left,
    isVoter,
    isHolder: isLeader,
  });
}

/** The keys of the oldest wishes beyond the bound whose machines have left and hold nothing. */
function outlived({ membership }: ClusterNode, standing: Standing): string[] {
  const surplus = standing.wishes.length + 1 - DrainMachine.maxWishes;
  if (surplus <= 0 || standing.voters === undefined) return [];
  const used = inUse(standing);
  return standing.wishes
    .filter((kv) => !used.has(DrainKey.machineOf(kv.key)!) && !membership.isAlive(DrainKey.machineOf(kv.key)!))
    .sort((a, b) => a.revision - b.revision)
    .slice(0, surplus)
    .map((kv) => kv.key);
}
