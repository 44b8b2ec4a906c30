import type { Clock } from "./clock.js";

/** Of one step: how often it ended, and the milliseconds it took together and at worst. */
export interface StepTime {
  count: number;
  totalMs: number;
  worstMs: number;
}

/** How long the steps of a kind of work take, since the start and since it was last looked at. Steps are few. */
export class StepTimes<Step extends string> {
  readonly #clock: Clock;
  readonly #sinceStart = new Map<Step, StepTime>();
  #interval = new Map<Step, StepTime>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Counts a step that took so many milliseconds. */
  record(step: Step, ms: number): void {
    for (const times of [this.#sinceStart, this.#interval]) {
      const time = times.get(step) ?? { count: 0, totalMs: 0, worstMs: 0 };
      time.count += 1;
      time.totalMs += ms;
      time.worstMs = Math.max(time.worstMs, ms);
      times.set(step, time);
    }
  }

  /** Awaits what a step returns, and counts it. */
  async measure<T>(step: Step, run: () => Promise<T>): Promise<T> {
    const startedAt = this.#clock.now();
    const result = await run();
    this.record(step, this.#clock.now() - startedAt);
    return result;
  }

  /** By step, since the start. */
  totals(): Record<string, StepTime> {
    return Object.fromEntries([...this.#sinceStart].map(([step, time]) => [step, { ...time }]));
  }

  /** The steps since the last call, as fields of a log line: count, mean and worst milliseconds. */
  takeInterval(): Record<string, string> {
    const interval = this.#interval;
    this.#interval = new Map();
    return Object.fromEntries(
      [...interval].map(([step, { count, totalMs, worstMs }]) => [
        step,
        `${count}x ${Math.round(totalMs / count)}ms worst ${Math.round(worstMs)}ms`,
      ]),
    );
  }
}
