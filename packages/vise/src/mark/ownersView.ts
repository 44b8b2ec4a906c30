import type { Change } from "@cranetrack/chest/process/feedFollower.js";
import type { Journal } from "@cranetrack/chest/process/journal.js";
import { OwnerKey, type OwnerRecord } from "./ownerKey.js";

export type Owner = OwnerRecord & { revision: number };

/** Which node owns which session, as far as this node has heard. Only a cache; the store decides. */
export class OwnersView {
  readonly #owners = new Map<string, Owner>();

  constructor(journal: Journal<Change>) {
    journal.fold((change) => {
      const session = OwnerKey.sessionOf(change.key);
      if (session === undefined) return;
      const owner = change.value === undefined ? undefined : OwnerKey.read(change.value);
      if (owner === undefined) this.#owners.delete(session);
      else this.#owners.set(session, { ...owner, revision: change.revision });
    });
  }

  find(session: string): Owner | undefined {
    return this.#owners.get(session);
  }

  get count(): number {
    return this.#owners.size;
  }
}
