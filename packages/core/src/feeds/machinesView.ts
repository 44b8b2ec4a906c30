import type { Change } from "./feedFollower.js";
import type { ChangeJournal } from "./changeJournal.js";
import { DrainKey } from "../keys/drainKey.js";

/** Which machines operators want emptied, as far as this node has heard. */
export class MachinesView {
  readonly #emptying = new Set<string>();

  constructor(journal: ChangeJournal<Change>) {
    journal.fold((change) => {
      const machine = DrainKey.machineOf(change.key);
      if (machine === undefined) return;
      if (change.value === undefined) this.#emptying.delete(machine);
      else this.#emptying.add(machine);
    });
  }

  isDraining(name: string): boolean {
    return this.#emptying.has(name);
  }
}
