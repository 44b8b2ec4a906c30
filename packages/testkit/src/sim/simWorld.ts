import { createHash } from "node:crypto";
import { SimRandom } from "./simRandom.js";

interface Event {
  at: number;
  order: number;
  run: () => void;
  isOff: boolean;
}

/**
 * Virtual time and everything that is to happen in it.
 * Invariant: events run by (time, order of asking), one at a time, and all promises settle in between; so
 * a seed gives one trace, byte for byte.
 */
export class SimWorld {
  readonly random: SimRandom;
  readonly #trace = createHash("sha1");
  /** A binary heap: no event is before its parent. */
  readonly #heap: Event[] = [];
  #order = 0;
  now = 0;
  events = 0;

  readonly seed: number;

  constructor(seed: number) {
    this.seed = seed;
    this.random = new SimRandom(seed);
  }

  at(time: number, run: () => void): Event {
    const event: Event = { at: Math.max(time, this.now), order: (this.#order += 1), run, isOff: false };
    this.#push(event);
    return event;
  }

  /** Makes what happened part of the trace. */
  digestEvent(text: string | Uint8Array): void {
    this.#trace.update(text);
  }

  trace(): string {
    return this.#trace.copy().update(String(this.now)).digest("hex");
  }

  async run(until: number): Promise<void> {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const event = this.#pop();
      if (event.isOff) continue;
      this.now = event.at;
      this.events += 1;
      event.run();
      await new Promise<void>((resolve) => void setImmediate(resolve));
    }
    this.now = until;
  }

  static #isBefore(a: Event, b: Event): boolean {
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  #push(event: Event): void {
    const heap = this.#heap;
    let i = heap.push(event) - 1;
    while (i > 0) {
      const parent = (i - 1) >> 1;
      if (!SimWorld.#isBefore(event, heap[parent]!)) break;
      heap[i] = heap[parent]!;
      i = parent;
    }
    heap[i] = event;
  }

  #pop(): Event {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let child = 2 * i + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && SimWorld.#isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!SimWorld.#isBefore(heap[child]!, last)) break;
      heap[i] = heap[child]!;
      i = child;
    }
    heap[i] = last;
    return top;
  }
}
