import type { InvariantMonitor } from "../runtime/invariantMonitor.js";

/**
 * Tracks the newest revision of the configuration that this process has committed, read, or received by its feed.
 * Invariant: no confirmed read that begins afterwards returns an older one; such a result must not be used.
 */
export class ConfigurationVerifier {
  readonly #invariants: Pick<InvariantMonitor, "violated">;
  readonly #revisionInForce: () => number;
  #newestSeen = 0;

  /** `revisionInForce` gives the revision of the configuration in force on this node. */
  constructor(invariants: Pick<InvariantMonitor, "violated">, revisionInForce: () => number) {
    this.#invariants = invariants;
    this.#revisionInForce = revisionInForce;
  }

  /** The least revision that a read that begins now must return. */
  get minRevision(): number {
    return Math.max(this.#newestSeen, this.#revisionInForce());
  }

  /** Records a revision that this process has committed or read. */
  recordSeen(revision: number): void {
    this.#newestSeen = Math.max(this.#newestSeen, revision);
  }

  /** Whether a read that began at this `bound` returned a current revision; 0 stands for no configuration. */
  isCurrent(bound: number, revision: number): boolean {
    if (revision < bound) {
      this.#invariants.violated("configurationRead", { bound, revision });
      return false;
    }
    this.recordSeen(revision);
    return true;
  }
}
