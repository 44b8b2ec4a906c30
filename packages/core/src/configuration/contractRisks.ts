import type { ClusterNode } from "../runtime/clusterNode.js";

/** A fault budget that the fleet could not honour now, and why. */
export interface ContractRisk {
  space: string;
  budget: "machines" | "zones";
  why: string;
}

interface LiveReplicaSet {
  readonly shard: number;
  /** Number of replicas in the set, alive or not. */
  readonly size: number;
  /** The zone of each live replica. */
  readonly liveZones: readonly string[];
}

/**
 * The accepted contracts that the live machines could not honour through the losses of the contracts' fault budgets.
 * A shard keeps working while a majority of its replicas is alive.
 */
export function contractRisks(node: ClusterNode): ContractRisk[] {
  const replicaSets = liveReplicaSets(node);
  const zoneVulnerableShards = replicaSets.filter((set) => !survivesZoneLoss(set)).map(({ shard }) => shard);
  return (node.configuration.configuration?.spaces ?? []).flatMap(({ name, program }): ContractRisk[] => {
    const maxBudget = (budget: "machines" | "zones"): number =>
      Math.max(
        0,
        ...program
          .filter(({ contract }) => contract.keep > 0)
          .map(({ contract }) => contract.fault_budget[budget] ?? 0),
      );
    const machines = maxBudget("machines");
    const weakShards = replicaSets
      .filter((set) => machines > 0 && !survivesLoss(set, machines))
      .map(({ shard }) => shard);
    const risks: ContractRisk[] = [];
    const describe = (shards: number[]): string => shards.join(", ");
    if (weakShards.length > 0)
      risks.push({ space: name, budget: "machines", why: `shards ${describe(weakShards)} lack a live replica` });
    if (maxBudget("zones") > 0 && zoneVulnerableShards.length > 0)
      risks.push({
        space: name,
        budget: "zones",
        why: `shards ${describe(zoneVulnerableShards)} would not survive the loss of a zone`,
      });
    return risks;
  });
}

function liveReplicaSets({ shards, membership }: ClusterNode): LiveReplicaSet[] {
  return shards.all().map(([shard, { set }]) => {
    const members = set?.members ?? [];
    const alive = members.filter((member) => membership.isAlive(member.name));
    return { shard, size: members.length, liveZones: alive.map(({ zone }) => zone) };
  });
}

/** Whether a majority of the set stays alive if `lost` more replicas fail. */
function survivesLoss({ size, liveZones }: LiveReplicaSet, lost: number): boolean {
  return liveZones.length - lost > size / 2;
}

function survivesZoneLoss({ size, liveZones }: LiveReplicaSet): boolean {
  return liveZones.every((zone) => liveZones.filter((other) => other !== zone).length > size / 2);
}
