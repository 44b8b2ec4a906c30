import type { Clock } from "./clock.js";

/** A rate limit: up to `burst` operations at once, and `perSecond` a second on average. */
export class TokenBucket {
  readonly #clock: Clock;
  readonly #burst: number;
  readonly #perSecond: number;
  #tokens: number;
  #filledAt: number;

  constructor(clock: Clock, burst: number, perSecond: number) {
    this.#clock = clock;
    this.#burst = burst;
    this.#perSecond = perSecond;
    this.#tokens = burst;
    this.#filledAt = clock.now();
  }

  /** Takes a token; returns false if none is left. */
  take(): boolean {
    const now = this.#clock.now();
    this.#tokens = Math.min(this.#burst, this.#tokens + ((now - this.#filledAt) / 1000) * this.#perSecond);
    this.#filledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
