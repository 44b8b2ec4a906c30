import type { Change } from "../process/feedFollower.js";
import type { Journal } from "../process/journal.js";

/** Which machines operators want emptied, as far as this node has heard. */
export class MachinesView {
  readonly #emptying = new Set<string>();

  constructor(journal: Journal<Change>) {
    journal.fold((change) => {
      const found = /^machines\/([^/]+)\/emptying$/.exec(change.key);
      if (found === null) return;
      if (change.value === undefined) this.#emptying.delete(found[1]!);
      else this.#emptying.add(found[1]!);
    });
  }

  isEmptying(name: string): boolean {
    return this.#emptying.has(name);
  }
}
