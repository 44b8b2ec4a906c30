import type { ClusterNode } from "../runtime/clusterNode.js";

export interface ContractRisk {
  space: string;
  budget: "machines" | "zones";
  why: string;
}

/**
 * Which accepted contracts the machines that are there just now could not keep through one more loss, and why.
 * A shard goes on while two of its three replicas are there.
 */
export function contractRisks(node: ClusterNode): ContractRisk[] {
  const { plan, shards, membership } = node;
  const sets = shards.all().map(([shard, { set }]) => {
    const alive = (set?.members ?? []).filter((member) => membership.isAlive(member.name));
    return { shard, alive };
  });
  const weak = sets.filter(({ alive }) => alive.length < 3).map(({ shard }) => shard);
  const narrow = sets
    .filter(({ alive }) => alive.some(({ zone }) => alive.filter((one) => one.zone !== zone).length < 2))
    .map(({ shard }) => shard);
  return (plan.plan?.spaces ?? []).flatMap(({ name, program }): ContractRisk[] => {
    const needs = (budget: "machines" | "zones"): boolean =>
      program.some(({ owe }) => owe.keep > 0 && (owe.fault_budget[budget] ?? 0) > 0);
    const risks: ContractRisk[] = [];
    const tell = (list: number[]): string => list.join(", ");
    if (needs("machines") && weak.length > 0)
      risks.push({ space: name, budget: "machines", why: `shards ${tell(weak)} lack a live replica` });
    if (needs("zones") && narrow.length > 0)
      risks.push({ space: name, budget: "zones", why: `shards ${tell(narrow)} would not outlive the loss of a zone` });
    return risks;
  });
}
