/**
 * Decides when a leader should yield because a majority answers it slowly: the leader itself may be the cause, and
 * lease renewals would be delayed.
 * Invariants: within `coolDownMs` a member yields at most once, and not at all if another leader has yielded for
 * slowness, so that members that are all slow don't hold one election after another; time in which this process was
 * paused doesn't count as slowness of the others.
 */
export class SlowMajorityDetector {
  /** A majority that takes longer than this to answer is slow. */
  static readonly slowMs = 150;
  /** How long the majority must be slow without interruption before the leader yields. */
  static readonly minDurationMs = 300;
  /**
   * Slowness at the start of a term is ignored for this long: members fetch the entries that they missed, and all
   * leases and feeds are opened again.
   */
  static readonly warmUpMs = 1500;
  /** For this long after any leader yielded for slowness, no leader yields for it again. */
  static readonly coolDownMs = 20_000;
  /** A longer gap between two checks means that this process was paused. */
  static readonly maxCheckGapMs = 200;

  #lastCheckAt = -Infinity;
  #lastFastAt = -Infinity;
  #lastYieldAt = -Infinity;

  /** This member's term as leader starts. */
  onTermStarted(now: number): void {
    this.#lastCheckAt = now;
    this.#lastFastAt = now + SlowMajorityDetector.warmUpMs;
  }

  /** Another leader yielded for slowness: if the majority is still slow, the leader was not the cause. */
  onOtherYielded(now: number): void {
    this.#lastYieldAt = now;
  }

  /**
   * Whether the leader should yield now; starts the cool-down if so. The leader calls this at every tick with the
   * milliseconds that a majority takes to answer.
   */
  shouldYield(now: number, answerMs: number): boolean {
    const hasPaused = now - this.#lastCheckAt > SlowMajorityDetector.maxCheckGapMs;
    this.#lastCheckAt = now;
    if (hasPaused || answerMs <= SlowMajorityDetector.slowMs) this.#lastFastAt = Math.max(this.#lastFastAt, now);
    if (
      now - this.#lastFastAt <= SlowMajorityDetector.minDurationMs ||
      now - this.#lastYieldAt <= SlowMajorityDetector.coolDownMs
    )
      return false;
    this.#lastYieldAt = now;
    return true;
  }
}
