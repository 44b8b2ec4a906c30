import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ValueHistory } from "./valueHistory.js";

/**
 * The latest changes of the metadata store, from which feeds are served without reading the whole store.
 * Invariant: it holds every change after `completeAfter`, in order, except that of each large value only the newest
 * version is kept, as receivers need no earlier one.
 */
export class ChangeLog {
  /** Beyond this number of changes the older half is dropped. */
  static readonly maxChanges = 20_000;

  #changes: Kv[] = [];
  /** Keys that have a large value among the changes. */
  readonly #largeKeys = new Set<string>();
  #completeAfter: number;

  constructor(revision: number) {
    this.#completeAfter = revision;
  }

  /** A receiver with a lower revision than this needs a snapshot. */
  get completeAfter(): number {
    return this.#completeAfter;
  }

  /** Adds changes that were just applied, in order. */
  append(changes: Kv[]): void {
    for (const kv of changes) this.#dropEarlierLarge(kv.key);
    this.#changes.push(...changes);
    for (const kv of changes) if (ValueHistory.isLarge(kv)) this.#largeKeys.add(kv.key);
    if (this.#changes.length > ChangeLog.maxChanges) {
      const dropped = this.#changes.splice(0, this.#changes.length - ChangeLog.maxChanges / 2);
      this.#completeAfter = dropped.at(-1)!.revision;
    }
  }

  /** Drops all changes after a snapshot of this revision was installed: the changes that led to it are unknown. */
  reset(revision: number): void {
    this.#changes = [];
    this.#largeKeys.clear();
    this.#completeAfter = revision;
  }

  /** All changes of later revisions; complete only if the revision is not below `completeAfter`. */
  after(revision: number): Kv[] {
    let first = this.#changes.length;
    while (first > 0 && this.#changes[first - 1]!.revision > revision) first -= 1;
    return this.#changes.slice(first);
  }

  #dropEarlierLarge(key: string): void {
    const isEarlierLarge = (kv: Kv): boolean => kv.key === key && ValueHistory.isLarge(kv);
    if (this.#largeKeys.delete(key)) this.#changes = this.#changes.filter((kv) => !isEarlierLarge(kv));
  }
}
