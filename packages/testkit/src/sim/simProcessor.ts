import type { SimWorld } from "./simWorld.js";

/** Milliseconds that a whole core of a simulated machine spends on each kind of work. */
export const processorCosts = {
  frameReceived: 0.32,
  frameSent: 0.16,
  kilobyte: 0.04,
  timer: 0.04,
  connection: 1,
  clientLine: 0.24,
  diskWrite: 0.6,
} as const;

interface Task {
  costMs: number;
  run: () => void;
}

/**
 * The processor of one simulated process, which has a share of a core. Tasks run one at a time in order of arrival;
 * each begins when the cost of those before it has elapsed.
 */
export class SimProcessor {
  readonly #world: SimWorld;
  readonly #share: number;
  readonly #tasks: Task[] = [];
  #isDraining = false;
  /** Virtual time at which the work charged so far is done. */
  #busyUntil = 0;

  /** `share` is the share of a core, above 0. */
  constructor(world: SimWorld, share: number) {
    this.#world = world;
    this.#share = share;
  }

  get busyUntil(): number {
    return Math.max(this.#busyUntil, this.#world.now);
  }

  /** Adds work of the running task to its own cost, in milliseconds of a whole core. */
  charge(costMs: number): void {
    this.#busyUntil = this.busyUntil + costMs / this.#share;
  }

  /** Queues a task; `costMs` is its cost in milliseconds of a whole core. */
  run(costMs: number, run: () => void): void {
    this.#tasks.push({ costMs, run });
    if (!this.#isDraining) this.#drain();
  }

  #drain(): void {
    this.#isDraining = true;
    if (this.#busyUntil > this.#world.now) return void this.#world.at(this.#busyUntil, () => this.#drain());
    const task = this.#tasks.shift();
    if (task === undefined) return void (this.#isDraining = false);
    this.charge(task.costMs);
    task.run();
    this.#drain();
  }
}
