import type { StreamTail } from "./streamTail.js";

/** The number of this edge's subscribers, by stream and topic. Invariant: no entry is 0. */
export class SubscriberCounts {
  readonly #streams = new Map<string, Map<string, number>>();
  readonly #onChanged: (tail: StreamTail, topic: string) => void;

  /** `onChanged` is called whenever the count of a topic changes. */
  constructor(onChanged: (tail: StreamTail, topic: string) => void) {
    this.#onChanged = onChanged;
  }

  /** The number of subscribers of each topic of a stream. */
  of(stream: string): ReadonlyMap<string, number> {
    return this.#streams.get(stream) ?? new Map();
  }

  /** Counts a subscriber. */
  addSubscriber(tail: StreamTail, topic: string): void {
    this.#add(tail, topic, 1);
  }

  /** Removes a subscriber from the count; called once for each `addSubscriber`. */
  removeSubscriber(tail: StreamTail, topic: string): void {
    this.#add(tail, topic, -1);
  }

  #add(tail: StreamTail, topic: string, change: number): void {
    let topics = this.#streams.get(tail.stream);
    if (topics === undefined) this.#streams.set(tail.stream, (topics = new Map()));
    const count = (topics.get(topic) ?? 0) + change;
    if (count > 0) topics.set(topic, count);
    else topics.delete(topic);
    if (topics.size === 0) this.#streams.delete(tail.stream);
    this.#onChanged(tail, topic);
  }
}
