import type { Change } from "@cranetrack/chest/process/feedFollower.js";
import type { Journal } from "@cranetrack/chest/process/journal.js";

export interface Owner {
  node: string;
  lease: string;
  revision: number;
}

/** Which node owns which session, as far as this node has heard. Only a cache; the store decides. */
export class OwnersView {
  readonly #owners = new Map<string, Owner>();

  constructor(journal: Journal<Change>) {
    journal.fold((change) => {
      const found = /^sessions\/([^/]+)\/owner$/.exec(change.key);
      if (found === null) return;
      if (change.value === undefined) this.#owners.delete(found[1]!);
      else this.#owners.set(found[1]!, OwnersView.read(change.value, change.revision));
    });
  }

  static read(value: Uint8Array, revision: number): Owner {
    return { ...(JSON.parse(Buffer.from(value).toString()) as { node: string; lease: string }), revision };
  }

  find(session: string): Owner | undefined {
    return this.#owners.get(session);
  }

  get count(): number {
    return this.#owners.size;
  }
}
