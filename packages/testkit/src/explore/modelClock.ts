import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";

/** A timer of the model's clock; `at` is in milliseconds of that clock. */
interface Timer {
  at: number;
  /** Rises with each timer: timers that are due at the same time fire in the order of their creation. */
  order: number;
  /** Interval of a periodic timer; undefined if the timer fires only once. */
  everyMs: number | undefined;
  fire: () => void;
}

/**
 * The monotonic clock of one process. It advances only on request and independently of all others: safety must not
 * depend on the clocks of different processes running at the same rate.
 */
export class ModelClock implements Clock {
  #now = 0;
  #order = 0;
  #timers: Timer[] = [];

  now(): number {
    return this.#now;
  }

  once(ms: number, fire: () => void): TimerHandle {
    return this.#add({ at: this.#now + ms, order: (this.#order += 1), everyMs: undefined, fire });
  }

  every(ms: number, fire: () => void): TimerHandle {
    return this.#add({ at: this.#now + ms, order: (this.#order += 1), everyMs: ms, fire });
  }

  /** Fires the timers that are due; true if there were any. */
  fireExpired(): boolean {
    const expired = this.#timers.filter((timer) => timer.at <= this.#now);
    expired.sort((a, b) => a.at - b.at || a.order - b.order);
    for (const timer of expired) this.#fire(timer);
    return expired.length > 0;
  }

  /** Advances to the next timer and fires all that are due then. */
  tick(): void {
    const next = Math.min(...this.#timers.map((timer) => timer.at));
    if (!Number.isFinite(next)) return;
    this.#now = Math.max(this.#now, next);
    this.fireExpired();
  }

  /** Advances by `ms` at once, as for a process that did not run meanwhile, and fires the timers that are due. */
  jump(ms: number): void {
    this.#now += ms;
    this.fireExpired();
  }

  #add(timer: Timer): TimerHandle {
    this.#timers.push(timer);
    return { stop: () => this.#remove(timer) };
  }

  #remove(timer: Timer): void {
    const index = this.#timers.indexOf(timer);
    if (index !== -1) this.#timers.splice(index, 1);
  }

  #fire(timer: Timer): void {
    if (!this.#timers.includes(timer)) return;
    if (timer.everyMs === undefined) this.#remove(timer);
    else timer.at = this.#now + timer.everyMs;
    timer.fire();
  }
}
