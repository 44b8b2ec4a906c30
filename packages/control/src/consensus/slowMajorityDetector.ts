/**
 * Tells when a leader that others answer slowly should give way: it may be the slow one, and leases would
 * suffer from it.
 * Invariants: says so at most once in a while, and not soon after another leader gave way for it, since the slowness
 * of all of them must not keep them electing; who did not look for a while, because it slept itself, says nothing of
 * the others' slowness.
 */
export class SlowMajorityWatch {
  static readonly slowMs = 150;
  static readonly forMs = 300;
  static readonly restMs = 20_000;
  /** Looks further apart than this are none. */
  static readonly gapMs = 200;

  #lookedAt = -Infinity;
  #quickAt = -Infinity;
  #gaveWayAt = -Infinity;

  /** A term begins. */
  begin(now: number): void {
    this.#quickAt = this.#lookedAt = now;
  }

  /** Another leader has given way: if this one is answered as slowly, it was not that one's fault. */
  otherGaveWay(now: number): void {
    this.#gaveWayAt = now;
  }

  isSlow(now: number, answerMs: number): boolean {
    const isAsleep = now - this.#lookedAt > SlowMajorityWatch.gapMs;
    this.#lookedAt = now;
    if (isAsleep || answerMs <= SlowMajorityWatch.slowMs) this.#quickAt = now;
    if (now - this.#quickAt <= SlowMajorityWatch.forMs || now - this.#gaveWayAt <= SlowMajorityWatch.restMs)
      return false;
    this.#gaveWayAt = now;
    return true;
  }
}
