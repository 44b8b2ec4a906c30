import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ValueHistory } from "./valueHistory.js";

/**
 * The newest changes of the metadata store, from which feeds are served without reading the whole store.
 * Invariant: every change after `since`, in order; of a large value the newest alone, as nobody needs the ones before.
 */
export class ChangeLog {
  static readonly maxChanges = 20_000;

  #changes: Kv[] = [];
  /** Keys with a large value among the changes. */
  readonly #large = new Set<string>();
  #since: number;

  constructor(revision: number) {
    this.#since = revision;
  }

  /** Who has an earlier revision than this needs a snapshot. */
  get since(): number {
    return this.#since;
  }

  /** Changes that were applied just now, in order. */
  append(changes: Kv[]): void {
    for (const kv of changes) this.#dropLarge(kv.key);
    this.#changes.push(...changes);
    for (const kv of changes) if (ValueHistory.isLarge(kv)) this.#large.add(kv.key);
    if (this.#changes.length > ChangeLog.maxChanges) {
      const dropped = this.#changes.splice(0, this.#changes.length - ChangeLog.maxChanges / 2);
      this.#since = dropped.at(-1)!.revision;
    }
  }

  /** Forgets all: what led to a snapshot of this revision isn't known. */
  reset(revision: number): void {
    this.#changes = [];
    this.#large.clear();
    this.#since = revision;
  }

  /** All changes of later revisions; complete only for a revision that is not below `since`. */
  after(revision: number): Kv[] {
    let first = this.#changes.length;
    while (first > 0 && this.#changes[first - 1]!.revision > revision) first -= 1;
    return this.#changes.slice(first);
  }

  #dropLarge(key: string): void {
    const isEarlier = (kv: Kv): boolean => kv.key === key && ValueHistory.isLarge(kv);
    if (this.#large.delete(key)) this.#changes = this.#changes.filter((kv) => !isEarlier(kv));
  }
}
