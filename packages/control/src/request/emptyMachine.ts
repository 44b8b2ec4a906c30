import { EmptyingKey } from "@cranetrack/core/mark/emptyingKey.js";
import { ReplicasKey } from "@cranetrack/core/mark/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/process/clusterNode.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/core/request/apiReceipt.js";

/** The operators' wish to have a machine's topic logs moved off it: kept, repeatable, undone by asking. */
export const EmptyMachine = {
  /** `rampSeconds`: how long the machine may take over it; kept with the wish. */
  async ask(node: ClusterNode, name: string, rampSeconds?: number): Promise<ApiReceipt> {
    const refusal = refuse(node, name);
    if (refusal !== undefined) return refusal;
    const written = await node.store.txn({
      puts: [{ key: EmptyingKey.of(name), value: EmptyingKey.write(rampSeconds) }],
    });
    if (written.outcome === "unsure")
      return ApiReceipts.unsure("the lathes did not answer in time; the same request again settles it");
    if (written.outcome !== "done") return ApiReceipts.away("no majority of the lathes answers");
    return EmptyMachine.progress(node, name);
  },

  async undo(node: ClusterNode, name: string): Promise<ApiReceipt> {
    const written = await node.store.txn({ deletes: [EmptyingKey.of(name)] });
    if (written.outcome !== "done")
      return ApiReceipts.unsure("the lathes did not answer in time; the same request again settles it");
    return EmptyMachine.progress(node, name);
  },

  async progress(node: ClusterNode, name: string): Promise<ApiReceipt> {
    const read = await node.store.read([EmptyingKey.of(name)], ["shards/"]);
    if (read.outcome !== "done") return ApiReceipts.away("no majority of the lathes answers");
    const isAsked = read.kvs!.some((kv) => kv.key === EmptyingKey.of(name));
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
    return ApiReceipts.done({
      machine: name,
      isAsked,
      isEmpty: left.length === 0,
      shardsLeft: left.length,
      of: sets.length,
      left,
    });
  },
};

/** Why the contracts could not be kept without the machine; undefined where they could. */
function refuse(node: ClusterNode, name: string): ApiReceipt | undefined {
  const { membership, machines } = node;
  const member = membership.find(name);
  if (member === undefined || member.shelf === "")
    return ApiReceipts.fault(404, "unknown-machine", `no machine called ${name} has a disk for topic logs`);
  const left = membership
    .alive()
    .filter((one) => one.shelf !== "" && one.name !== name && !machines.isEmptying(one.name));
  if (left.length < 3)
    return ApiReceipts.fault(
      409,
      "contract-at-risk",
      `only ${left.length} machines with a disk would be left, and each shard needs three`,
    );
  const zones = new Set(left.map((one) => one.zone)).size;
  const program =
    node.plan.plan?.spaces.flatMap((space) => space.program.map((rule) => ({ space: space.name, rule }))) ?? [];
  const bound = program.find(({ rule }) => rule.owe.keep > 0 && (rule.owe.fault_budget.zones ?? 0) > 0);
  if (bound !== undefined && zones < 3)
    return ApiReceipts.fault(
      409,
      "contract-at-risk",
      `space ${bound.space} must survive the loss of a zone, and machines would be left in only ${zones}`,
    );
  return undefined;
}
