import type { StreamTail } from "./streamTail.js";

/** This edge's subscribers, by stream and topic. Invariant: no entry is 0. */
export class SubscriberCounts {
  readonly #streams = new Map<string, Map<string, number>>();
  readonly #changed: (tail: StreamTail, topic: string) => void;

  constructor(changed: (tail: StreamTail, topic: string) => void) {
    this.#changed = changed;
  }

  /** Subscribers of each of a stream's topics. */
  of(stream: string): ReadonlyMap<string, number> {
    return this.#streams.get(stream) ?? new Map();
  }

  /** One subscriber more. */
  join(tail: StreamTail, topic: string): void {
    this.#add(tail, topic, 1);
  }

  /** One subscriber less; each `join` is paired with one call. */
  part(tail: StreamTail, topic: string): void {
    this.#add(tail, topic, -1);
  }

  #add(tail: StreamTail, topic: string, change: number): void {
    let topics = this.#streams.get(tail.stream);
    if (topics === undefined) this.#streams.set(tail.stream, (topics = new Map()));
    const count = (topics.get(topic) ?? 0) + change;
    if (count > 0) topics.set(topic, count);
    else topics.delete(topic);
    if (topics.size === 0) this.#streams.delete(tail.stream);
    this.#changed(tail, topic);
  }
}
