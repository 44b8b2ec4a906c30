import type { Plan, PlanFault } from "@cranetrack/chest/mark/plan.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";

/** What the machines there are could not keep, said rather than promised more weakly. */
export function planCapacity(node: ClusterNode, plan: Plan): PlanFault[] {
  const disks = node.membership.all().filter((member) => member.shelf !== "" && member.state === "up");
  const zones = new Set(disks.map((member) => member.zone)).size;
  const faults: PlanFault[] = [];
  plan.spaces.forEach((space, i) =>
    space.program.forEach(({ owe }, j) => {
      if (owe.keep === 0) return;
      const path = `spaces.${i}.program.${j}.owe.fault_budget`;
      if ((owe.fault_budget.machines ?? 0) > 1)
        faults.push({
          path: `${path}.machines`,
          problem: "replica sets of three survive the loss of one machine, not of two",
        });
      if ((owe.fault_budget.machines ?? 0) > 0 && disks.length < 3)
        faults.push({
          path: `${path}.machines`,
          problem: `needs three machines with a disk for topic logs; there are ${disks.length}`,
        });
      if ((owe.fault_budget.zones ?? 0) > 0 && zones < 3)
        faults.push({ path: `${path}.zones`, problem: `needs such machines in three zones; there are ${zones}` });
    }),
  );
  return faults;
}
