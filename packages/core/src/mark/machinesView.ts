import type { Change } from "../process/feedFollower.js";
import type { Journal } from "../process/journal.js";
import { EmptyingKey } from "./emptyingKey.js";

/** Which machines operators want emptied, as far as this node has heard. */
export class MachinesView {
  readonly #emptying = new Set<string>();

  constructor(journal: Journal<Change>) {
    journal.fold((change) => {
      const machine = EmptyingKey.machineOf(change.key);
      if (machine === undefined) return;
      if (change.value === undefined) this.#emptying.delete(machine);
      else this.#emptying.add(machine);
    });
  }

  isEmptying(name: string): boolean {
    return this.#emptying.has(name);
  }
}
