import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import { processorCosts, type SimProcessor } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

/** State of one simulated process: whether and how fast its timers, calls and frames are handled. */
export interface SimProcessState {
  isDead: boolean;
  /** Virtual time in ms until which the process is paused. */
  pausedUntil: number;
  /** Clock rate relative to virtual time: 1.02 runs two percent fast. */
  rate?: number;
  /** Without one, work takes no virtual time. */
  processor?: SimProcessor | undefined;
}

/** A process's view of virtual time: its timers stop when it ends, and wait while it is paused. */
export class SimClock implements Clock {
  readonly #world: SimWorld;
  readonly #state: SimProcessState;

  constructor(world: SimWorld, body: SimProcessState) {
    this.#world = world;
    this.#state = body;
  }

  now(): number {
    return this.#world.now * this.#rate;
  }

  once(ms: number, callback: () => void): TimerHandle {
    const timer = { isOff: false };
    this.#schedule(this.#world.now + Math.max(0.01, ms) / this.#rate, timer, callback);
    return { stop: () => void (timer.isOff = true) };
  }

  every(ms: number, callback: () => void): TimerHandle {
    const timer = { isOff: false };
    const scheduleNext = (): void => {
      this.#schedule(this.#world.now + ms / this.#rate, timer, () => {
        scheduleNext();
        callback();
      });
    };
    scheduleNext();
    return { stop: () => void (timer.isOff = true) };
  }

  get #rate(): number {
    return this.#state.rate ?? 1;
  }

  #schedule(at: number, timer: { isOff: boolean }, callback: () => void): void {
    this.#world.at(at, () => {
      if (timer.isOff || this.#state.isDead) return;
      if (this.#state.pausedUntil > this.#world.now) return this.#schedule(this.#state.pausedUntil, timer, callback);
      const { processor } = this.#state;
      if (processor === undefined) return callback();
      processor.run(processorCosts.timer, () => {
        if (!timer.isOff && !this.#state.isDead) callback();
      });
    });
  }
}
