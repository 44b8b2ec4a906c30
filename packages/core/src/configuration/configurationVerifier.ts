import type { InvariantMonitor } from "../runtime/invariantMonitor.js";

/**
 * The newest revision of the configuration that this process has seen: committed, read, or told by its feed.
 * Invariant: no confirmed read that begins afterwards gives an older one; one that does is not to be believed.
 */
export class ConfigurationVerifier {
  readonly #invariants: Pick<InvariantMonitor, "violated">;
  readonly #followed: () => number;
  #seen = 0;

  /** `followed` is the revision of the configuration in force on this node. */
  constructor(invariants: Pick<InvariantMonitor, "violated">, followed: () => number) {
    this.#invariants = invariants;
    this.#followed = followed;
  }

  /** What a read that begins now must reach. */
  get bound(): number {
    return Math.max(this.#seen, this.#followed());
  }

  saw(revision: number): void {
    this.#seen = Math.max(this.#seen, revision);
  }

  /** Whether a read that began when `bound` was this gives a configuration that may be believed; 0 for none. */
  isCurrent(bound: number, revision: number): boolean {
    if (revision < bound) {
      this.#invariants.violated("configurationRead", { bound, revision });
      return false;
    }
    this.saw(revision);
    return true;
  }
}
