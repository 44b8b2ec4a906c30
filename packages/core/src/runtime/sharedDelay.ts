import type { Clock } from "./clock.js";

/** One timer shared by all tasks that wait at the same time, such as between two attempts. */
export class SharedDelay {
  readonly #clock: Clock;
  readonly #delayMs: number;
  #pending: Promise<void> | undefined;

  constructor(clock: Clock, delayMs: number) {
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  /** Resolves at the end of the current delay, or of a new one: after `delayMs` milliseconds at the latest. */
  next(): Promise<void> {
    this.#pending ??= new Promise((resolve) => {
      this.#clock.once(this.#delayMs, () => {
        this.#pending = undefined;
        resolve();
      });
    });
    return this.#pending;
  }
}
