import type { Configuration, ConfigurationFault } from "@cranetrack/core/configuration/configuration.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** The parts of a node from which the capacity of the fleet is computed. */
export type FleetView = Pick<ClusterNode, "membership" | "machines" | "shards" | "configuration" | "parts">;

/** A fault for each fault budget of the configuration that the fleet's machines and settings can't meet. Pure. */
export function checkConfigurationCapacity(fleet: FleetView, configuration: Configuration): ConfigurationFault[] {
  const zoneByMachine = zonesOfDiskMachines(fleet);
  const zoneCount = new Set(zoneByMachine.values()).size;
  const faults: ConfigurationFault[] = [];
  configuration.spaces.forEach((space, i) =>
    space.program.forEach(({ contract }, j) => {
      if (contract.keep === 0) return;
      const path = `spaces.${i}.program.${j}.owe.fault_budget`;
      const lostMachines = contract.fault_budget.machines ?? 0;
      const problem = machinesProblem(fleet, lostMachines, zoneByMachine.size);
      if (problem !== undefined) faults.push({ path: `${path}.machines`, problem });
      if ((contract.fault_budget.zones ?? 0) > 0 && zoneCount < 3 && !isGuaranteedInForce(fleet, "zones", 1))
        faults.push({ path: `${path}.zones`, problem: `needs such machines in three zones; there are ${zoneCount}` });
    }),
  );
  return faults;
}

/**
 * Why the simultaneous loss of this many machines could not be survived; undefined if it could. Surviving the loss of f
 * machines takes 2f + 1 replicas, so that a majority remains.
 */
function machinesProblem(fleet: FleetView, lostMachines: number, machineCount: number): string | undefined {
  const needed = 2 * lostMachines + 1;
  const { replicas } = fleet.parts.settings;
  if (lostMachines === 0) return undefined;
  if (replicas < needed)
    return `needs replica sets of ${needed}; this deployment's settings ask for sets of ${replicas}`;
  if (machineCount < needed && !isGuaranteedInForce(fleet, "machines", lostMachines))
    return `needs ${needed} machines with a disk for topic logs; there are ${machineCount}`;
  return undefined;
}

/**
 * The zones of the fleet's machines with a disk for topic logs, by machine name. A machine that is down counts as long
 * as the membership or a replica set contains it; a machine that was drained and is not up does not count.
 */
function zonesOfDiskMachines({ membership, machines, shards }: FleetView): Map<string, string> {
  const zoneByMachine = new Map<string, string>();
  const hasLeft = (name: string): boolean => machines.isDraining(name) && membership.find(name)?.state !== "up";
  for (const [, { set }] of shards.all())
    for (const { name, zone } of set?.members ?? []) if (!hasLeft(name)) zoneByMachine.set(name, zone);
  for (const { name, zone, logDisk } of membership.all())
    if (logDisk !== "" && !hasLeft(name)) zoneByMachine.set(name, zone);
  return zoneByMachine;
}

/**
 * Whether the configuration in force already has a fault budget of at least this many losses. The fleet had the
 * capacity for it when it was accepted, and drains do not take machines below it.
 */
function isGuaranteedInForce({ configuration }: FleetView, budget: "machines" | "zones", losses: number): boolean {
  return (
    configuration.configuration?.spaces.some(({ program }) =>
      program.some(({ contract }) => contract.keep > 0 && (contract.fault_budget[budget] ?? 0) >= losses),
    ) ?? false
  );
}
