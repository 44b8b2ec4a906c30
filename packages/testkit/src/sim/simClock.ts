import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import { processorCosts, type SimProcessor } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

/** What a machine's state does to whatever happens on it. */
export interface SimBody {
  isDead: boolean;
  pausedUntil: number;
  /** How fast its clock runs: 1.02 gains two hundredths. */
  rate?: number;
  /** None given, its work takes no time. */
  processor?: SimProcessor | undefined;
}

/** A process's view of virtual time: beats stop with it, and wait while it is paused. */
export class SimClock implements Clock {
  readonly #world: SimWorld;
  readonly #body: SimBody;

  constructor(world: SimWorld, body: SimBody) {
    this.#world = world;
    this.#body = body;
  }

  now(): number {
    return this.#world.now * this.#rate;
  }

  once(ms: number, callback: () => void): TimerHandle {
    const tick = { isOff: false };
    this.#fire(this.#world.now + Math.max(0.01, ms) / this.#rate, tick, callback);
    return { stop: () => void (tick.isOff = true) };
  }

  every(ms: number, callback: () => void): TimerHandle {
    const tick = { isOff: false };
    const again = (): void => {
      this.#fire(this.#world.now + ms / this.#rate, tick, () => {
        again();
        callback();
      });
    };
    again();
    return { stop: () => void (tick.isOff = true) };
  }

  get #rate(): number {
    return this.#body.rate ?? 1;
  }

  #fire(at: number, tick: { isOff: boolean }, callback: () => void): void {
    this.#world.at(at, () => {
      if (tick.isOff || this.#body.isDead) return;
      if (this.#body.pausedUntil > this.#world.now) return this.#fire(this.#body.pausedUntil, tick, callback);
      const { processor } = this.#body;
      if (processor === undefined) return callback();
      processor.run(processorCosts.timer, () => {
        if (!tick.isOff && !this.#body.isDead) callback();
      });
    });
  }
}
