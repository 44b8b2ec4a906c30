import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";

interface Timer {
  at: number;
  order: number;
  /** Undefined: rings once. */
  everyMs: number | undefined;
  fire: () => void;
}

/**
 * One process's own monotonic clock. It moves only when told to, and independently of all others: safety may not
 * rest on clocks of different processes running alike.
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

  /** Rings what is due by now; true where anything was. */
  fireExpired(): boolean {
    const expired = this.#timers.filter((timer) => timer.at <= this.#now);
    expired.sort((a, b) => a.at - b.at || a.order - b.order);
    for (const timer of expired) this.#fire(timer);
    return expired.length > 0;
  }

  /** Moves on to the next timer and rings all that is due then. */
  tick(): void {
    const next = Math.min(...this.#timers.map((timer) => timer.at));
    if (!Number.isFinite(next)) return;
    this.#now = Math.max(this.#now, next);
    this.fireExpired();
  }

  /** The process did not run for a while. */
  jump(ms: number): void {
    this.#now += ms;
    this.fireExpired();
  }

  #add(timer: Timer): TimerHandle {
    this.#timers.push(timer);
    return { stop: () => this.#remove(timer) };
  }

  #remove(timer: Timer): void {
    const place = this.#timers.indexOf(timer);
    if (place !== -1) this.#timers.splice(place, 1);
  }

  #fire(timer: Timer): void {
    if (!this.#timers.includes(timer)) return;
    if (timer.everyMs === undefined) this.#remove(timer);
    else timer.at = this.#now + timer.everyMs;
    timer.fire();
  }
}
