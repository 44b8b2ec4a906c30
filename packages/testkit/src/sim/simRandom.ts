import type { RandomSource } from "@cranetrack/core/runtime/random.js";

/** A seeded pseudo-random generator (32-bit mixed counter): equal seeds give equal sequences. */
export class SimRandom implements RandomSource {
  #state: number;

  constructor(seed: number) {
    this.#state = (seed * 2654435761 + 97) >>> 0;
  }

  draw(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  }

  between(low: number, high: number): number {
    return low + this.draw() * (high - low);
  }

  pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.draw() * list.length)]!;
  }

  identity(): string {
    return Array.from({ length: 20 }, () => Math.floor(this.draw() * 16).toString(16)).join("");
  }

  /** A new generator, seeded by a draw from this one and independent afterwards. */
  fork(): SimRandom {
    return new SimRandom(Math.floor(this.draw() * 2 ** 31));
  }
}
