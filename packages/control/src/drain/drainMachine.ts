import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";

const noMajority = "no majority of the lathes answers";

/** The operators' wish to have a machine's topic logs moved off it: kept, repeatable, undone by asking. */
export const DrainMachine = {
  /** `rampSeconds`: how long the machine may take over it; kept with the wish. */
  async ask(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReply> {
    const refusal = refuse(node, name);
    if (refusal !== undefined) return (await isInTouch(node)) ? refusal : ApiReplies.away(noMajority);
    const written = await node.store.txn({
      puts: [{ key: DrainKey.of(name), value: DrainKey.write(rampSeconds) }],
    });
    if (written.outcome === "unsure")
      return ApiReplies.unsure("the lathes did not answer in time; the same request again settles it");
    if (written.outcome !== "done") return ApiReplies.away(noMajority);
    return DrainMachine.progress(node, name);
  },

  async undo(node: ClusterNode, name: string): Promise<ApiReply> {
    const written = await node.store.txn({ deletes: [DrainKey.of(name)] });
    if (written.outcome !== "done")
      return ApiReplies.unsure("the lathes did not answer in time; the same request again settles it");
    return DrainMachine.progress(node, name);
  },

  async progress(node: ClusterNode, name: string): Promise<ApiReply> {
    const read = await node.store.read([DrainKey.of(name)], ["shards/"]);
    if (read.outcome !== "done") return ApiReplies.away(noMajority);
    const isAsked = read.kvs!.some((kv) => kv.key === DrainKey.of(name));
    const sets = read
      .kvs!.filter((kv) => kv.key.endsWith("/replicas"))
      .map((kv) => ({
        shard: Number(kv.key.split("/")[1]),
        members: ReplicasKey.read(kv.value)?.members ?? [],
      }));
    const left = sets
      .filter((set) => set.members.some((member) => member.name === name))
      .map((set) => set.shard)
      .sort((a, b) => a - b);
    return ApiReplies.done({
      machine: name,
      isAsked,
      isEmpty: left.length === 0,
      shardsLeft: left.length,
      of: sets.length,
      left,
    });
  },
};

/** Whoever is cut off, or has just started, knows too few machines to refuse anything. */
async function isInTouch(node: ClusterNode): Promise<boolean> {
  return node.feed.isFresh && (await node.store.read([])).outcome === "done";
}

/** Why the contracts could not be kept without the machine; undefined where they could. */
function refuse(node: ClusterNode, name: string): ApiReply | undefined {
  const { membership, machines } = node;
  const member = membership.find(name);
  if (member === undefined || member.shelf === "")
    return ApiReplies.fault(404, "unknown-machine", `no machine called ${name} has a disk for topic logs`);
  const left = membership
    .alive()
    .filter((one) => one.shelf !== "" && one.name !== name && !machines.isDraining(one.name));
  if (left.length < 3)
    return ApiReplies.fault(
      409,
      "contract-at-risk",
      `only ${left.length} machines with a disk would be left, and each shard needs three`,
    );
  const zones = new Set(left.map((one) => one.zone)).size;
  const program =
    node.plan.plan?.spaces.flatMap((space) => space.program.map((rule) => ({ space: space.name, rule }))) ?? [];
  const bound = program.find(({ rule }) => rule.owe.keep > 0 && (rule.owe.fault_budget.zones ?? 0) > 0);
  if (bound !== undefined && zones < 3)
    return ApiReplies.fault(
      409,
      "contract-at-risk",
      `space ${bound.space} must survive the loss of a zone, and machines would be left in only ${zones}`,
    );
  return undefined;
}
