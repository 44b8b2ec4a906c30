import type { ClusterNode } from "../runtime/clusterNode.js";

export interface ContractRisk {
  space: string;
  budget: "machines" | "zones";
  why: string;
}

interface LiveSet {
  readonly shard: number;
  /** How many replicas make the set. */
  readonly size: number;
  /** The zone of each that is alive. */
  readonly zones: readonly string[];
}

/**
 * Which accepted contracts the machines that are there just now could not keep through the losses that they allow
 * for, and why. A shard goes on while a majority of its replicas is there.
 */
export function contractRisks(node: ClusterNode): ContractRisk[] {
  const sets = liveSets(node);
  const narrow = sets.filter((set) => !survivesZoneLoss(set)).map(({ shard }) => shard);
  return (node.configuration.configuration?.spaces ?? []).flatMap(({ name, program }): ContractRisk[] => {
    const most = (budget: "machines" | "zones"): number =>
      Math.max(
        0,
        ...program
          .filter(({ contract }) => contract.keep > 0)
          .map(({ contract }) => contract.fault_budget[budget] ?? 0),
      );
    const machines = most("machines");
    const weak = sets.filter((set) => machines > 0 && !survivesLoss(set, machines)).map(({ shard }) => shard);
    const risks: ContractRisk[] = [];
    const describe = (list: number[]): string => list.join(", ");
    if (weak.length > 0)
      risks.push({ space: name, budget: "machines", why: `shards ${describe(weak)} lack a live replica` });
    if (most("zones") > 0 && narrow.length > 0)
      risks.push({
        space: name,
        budget: "zones",
        why: `shards ${describe(narrow)} would not outlive the loss of a zone`,
      });
    return risks;
  });
}

function liveSets({ shards, membership }: ClusterNode): LiveSet[] {
  return shards.all().map(([shard, { set }]) => {
    const members = set?.members ?? [];
    const alive = members.filter((member) => membership.isAlive(member.name));
    return { shard, size: members.length, zones: alive.map(({ zone }) => zone) };
  });
}

/** Whether a majority of the set stays where so many more are lost. */
function survivesLoss({ size, zones }: LiveSet, lost: number): boolean {
  return zones.length - lost > size / 2;
}

function survivesZoneLoss({ size, zones }: LiveSet): boolean {
  return zones.every((zone) => zones.filter((other) => other !== zone).length > size / 2);
}
