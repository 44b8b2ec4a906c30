import type { Clock } from "./clock.js";

/** How often a step ended, and its total and maximum duration in milliseconds. */
export interface StepTime {
  count: number;
  totalMs: number;
  worstMs: number;
}

/** Durations of the steps of a task, since the process started and per interval. The number of steps is small. */
export class StepTimes<Step extends string> {
  readonly #clock: Clock;
  readonly #sinceStart = new Map<Step, StepTime>();
  #interval = new Map<Step, StepTime>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a step that took `ms` milliseconds. */
  record(step: Step, ms: number): void {
    for (const times of [this.#sinceStart, this.#interval]) {
      const time = times.get(step) ?? { count: 0, totalMs: 0, worstMs: 0 };
      time.count += 1;
      time.totalMs += ms;
      time.worstMs = Math.max(time.worstMs, ms);
      times.set(step, time);
    }
  }

  /** Runs a step, records its duration and returns its result; a step that rejects is not recorded. */
  async measure<T>(step: Step, run: () => Promise<T>): Promise<T> {
    const startedAt = this.#clock.now();
    const result = await run();
    this.record(step, this.#clock.now() - startedAt);
    return result;
  }

  /** Durations by step, since the process started. */
  totals(): Record<string, StepTime> {
    return Object.fromEntries([...this.#sinceStart].map(([step, time]) => [step, { ...time }]));
  }

  /** The steps since the last call as fields of a log line: count, mean and maximum milliseconds. */
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
