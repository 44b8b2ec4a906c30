import type { Change } from "./feedFollower.js";
import type { ChangeJournal } from "./changeJournal.js";
import { DrainKey } from "../keys/drainKey.js";

/** The machines that operators are draining, as far as this node knows. */
export class MachinesView {
  readonly #drainingMachines = new Set<string>();

  constructor(journal: ChangeJournal<Change>) {
    journal.subscribe((change) => {
      const machine = DrainKey.machineOf(change.key);
      if (machine === undefined) return;
      if (change.value === undefined) this.#drainingMachines.delete(machine);
      else this.#drainingMachines.add(machine);
    });
  }

  /** Whether operators are draining the machine with this name. */
  isDraining(name: string): boolean {
    return this.#drainingMachines.has(name);
  }
}
