import type { Configuration, ConfigurationFault } from "@cranetrack/core/configuration/configuration.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** What the capacity is judged by. */
export type CapacityParts = Pick<ClusterNode, "membership" | "machines" | "shards" | "configuration" | "parts">;

/** What the fleet could not keep, said rather than promised more weakly. */
export function checkConfigurationCapacity(node: CapacityParts, configuration: Configuration): ConfigurationFault[] {
  const disks = diskZones(node);
  const zones = new Set(disks.values()).size;
  const faults: ConfigurationFault[] = [];
  configuration.spaces.forEach((space, i) =>
    space.program.forEach(({ contract }, j) => {
      if (contract.keep === 0) return;
      const path = `spaces.${i}.program.${j}.owe.fault_budget`;
      const lost = contract.fault_budget.machines ?? 0;
      const problem = machinesProblem(node, lost, disks.size);
      if (problem !== undefined) faults.push({ path: `${path}.machines`, problem });
      if ((contract.fault_budget.zones ?? 0) > 0 && zones < 3 && !isPromisedInForce(node, "zones", 1))
        faults.push({ path: `${path}.zones`, problem: `needs such machines in three zones; there are ${zones}` });
    }),
  );
  return faults;
}

/** Why the loss of so many machines at once could not be survived: that takes a majority of 2f + 1 replicas. */
function machinesProblem(node: CapacityParts, lost: number, disks: number): string | undefined {
  const needed = 2 * lost + 1;
  const { replicas } = node.parts.settings;
  if (lost === 0) return undefined;
  if (replicas < needed)
    return `needs replica sets of ${needed}; this deployment's settings ask for sets of ${replicas}`;
  if (disks < needed && !isPromisedInForce(node, "machines", lost))
    return `needs ${needed} machines with a disk for topic logs; there are ${disks}`;
  return undefined;
}

/**
 * The fleet's machines with a disk for topic logs, by name, each with its zone. One that is down belongs to it as
 * long as a member knows it or a replica set names it; one that was emptied and has left does not.
 */
function diskZones({ membership, machines, shards }: CapacityParts): Map<string, string> {
  const disks = new Map<string, string>();
  const isGone = (name: string): boolean => machines.isDraining(name) && membership.find(name)?.state !== "up";
  for (const [, { set }] of shards.all())
    for (const { name, zone } of set?.members ?? []) if (!isGone(name)) disks.set(name, zone);
  for (const { name, zone, logDisk } of membership.all()) if (logDisk !== "" && !isGone(name)) disks.set(name, zone);
  return disks;
}

/**
 * Whether the configuration in force promises as much: it was accepted by what the fleet has, and no machine leaves
 * that.
 */
function isPromisedInForce({ configuration }: CapacityParts, budget: "machines" | "zones", lost: number): boolean {
  return (
    configuration.configuration?.spaces.some(({ program }) =>
      program.some(({ contract }) => contract.keep > 0 && (contract.fault_budget[budget] ?? 0) >= lost),
    ) ?? false
  );
}
