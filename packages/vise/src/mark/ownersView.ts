import { EventEmitter } from "node:events";
import type { Clock } from "@cranetrack/chest/process/clock.js";
import type { Change } from "@cranetrack/chest/process/feedFollower.js";
import type { Journal } from "@cranetrack/chest/process/journal.js";
import { OwnerKey, type OwnerRecord } from "./ownerKey.js";

export type Owner = OwnerRecord & { revision: number };

/** Which node owns which session, as far as this node has heard. Only a cache; the store decides. */
export class OwnersView extends EventEmitter<{ changed: [session: string] }> {
  readonly #owners = new Map<string, Owner>();

  constructor(journal: Journal<Change>) {
    super();
    this.setMaxListeners(0);
    journal.fold((change) => {
      const session = OwnerKey.sessionOf(change.key);
      if (session === undefined) return;
      const owner = change.value === undefined ? undefined : OwnerKey.read(change.value);
      if (owner === undefined) this.#owners.delete(session);
      else this.#owners.set(session, { ...owner, revision: change.revision });
      this.emit("changed", session);
    });
  }

  find(session: string): Owner | undefined {
    return this.#owners.get(session);
  }

  /** Resolves once this node hears that a key of that revision is gone or another's, or when the due has passed. */
  left(session: string, revision: number, clock: Clock, due: number): Promise<undefined> {
    return new Promise((resolve) => {
      const look = (changed: string): void => {
        if (changed === session && this.#owners.get(session)?.revision !== revision) end();
      };
      const beat = clock.once(due, () => end());
      const end = (): void => {
        beat.stop();
        this.off("changed", look);
        resolve(undefined);
      };
      this.on("changed", look);
    });
  }

  get count(): number {
    return this.#owners.size;
  }
}
