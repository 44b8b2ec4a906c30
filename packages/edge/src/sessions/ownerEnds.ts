import type { Clock } from "@cranetrack/core/runtime/clock.js";

/**
 * When sessions last lost their owner without a transfer of their state, as far as this node knows. No key tells
 * whether a session without an owner is one of them, so each such session is treated as if it were.
 * Invariant: the latest such end counts, from the time when this node first read of it, which is later than the end.
 */
export class OwnerEnds {
  readonly #clock: Clock;
  readonly #redeliveryMs: number;
  #revision = 0;
  #readAt = 0;

  /** `redeliveryMs`: how long a client may repeat what it sent to a session's owner, in milliseconds. */
  constructor(clock: Clock, redeliveryMs: number) {
    this.#clock = clock;
    this.#redeliveryMs = redeliveryMs;
  }

  /**
   * The time from which the publish numbers of a session without an owner are all known, in milliseconds of the
   * monotonic clock; 0 if no owner ever ended without a transfer. `revision` is that of the store's key that records
   * the last such end.
   */
  numbersCompleteAt(revision: number): number {
    if (revision > this.#revision) {
      this.#revision = revision;
      this.#readAt = this.#clock.now();
    }
    return this.#revision === 0 ? 0 : this.#readAt + this.#redeliveryMs;
  }
}
