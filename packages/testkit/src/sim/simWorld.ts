import { createHash } from "node:crypto";
import { SimRandom } from "./simRandom.js";

interface ScheduledEvent {
  at: number;
  sequence: number;
  run: () => void;
  isCancelled: boolean;
}

/**
 * Virtual time and the queue of scheduled events.
 * Invariant: events run one at a time, ordered by (time, order of scheduling), and all promises settle in between, so
 * that equal seeds give equal traces, byte for byte.
 */
export class SimWorld {
  readonly random: SimRandom;
  readonly #trace = createHash("sha1");
  /** Binary heap: no event is due before its parent. */
  readonly #heap: ScheduledEvent[] = [];
  #lastSequence = 0;
  /** Virtual time in ms. */
  now = 0;
  /** Number of events run so far. */
  events = 0;

  readonly seed: number;

  constructor(seed: number) {
    this.seed = seed;
    this.random = new SimRandom(seed);
  }

  /** Schedules a callback at a virtual time in ms, or now if that is past. */
  at(time: number, run: () => void): ScheduledEvent {
    const event: ScheduledEvent = {
      at: Math.max(time, this.now),
      sequence: (this.#lastSequence += 1),
      run,
      isCancelled: false,
    };
    this.#push(event);
    return event;
  }

  /** Adds an event to the trace. */
  digestEvent(text: string | Uint8Array): void {
    this.#trace.update(text);
  }

  /** Digest of all events so far: equal for equal seeds. */
  trace(): string {
    return this.#trace.copy().update(String(this.now)).digest("hex");
  }

  /** Runs all events up to a virtual time in ms, and moves `now` there. */
  async run(until: number): Promise<void> {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const event = this.#pop();
      if (event.isCancelled) continue;
      this.now = event.at;
      this.events += 1;
      event.run();
      await new Promise<void>((resolve) => void setImmediate(resolve));
    }
    this.now = until;
  }

  static #isBefore(a: ScheduledEvent, b: ScheduledEvent): boolean {
    return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
  }

  #push(event: ScheduledEvent): void {
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

  #pop(): ScheduledEvent {
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
