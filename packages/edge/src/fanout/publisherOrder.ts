import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";

/** The last message of a publisher in a topic. */
interface LastMessage {
  /** The highest number so far. */
  number: number;
  /** Milliseconds, of the caller's clock. */
  at: number;
}

/**
 * Checks that the numbers of each publisher in each topic rise, also when the leader changes. Bounded: of more than
 * `maxPublishers`, the one that was silent longest is forgotten first, if it was silent for `minRememberedMs`. Leaders
 * forget publishers that were silent for ten minutes, whose numbers may then start again, so numbers older than half of
 * that time are ignored here.
 */
export class PublisherOrder {
  /** Pairs of topic and publisher that are remembered. */
  static readonly maxPublishers = 1000;
  /** Milliseconds for which a number is compared with later ones. */
  static readonly rememberedMs = 300_000;

  readonly #minRememberedMs: number;
  /** The publisher that was silent longest comes first. */
  readonly #last = new Map<string, LastMessage>();

  /** `minRememberedMs`: for how long after its last message no publisher is forgotten, in milliseconds. */
  constructor(minRememberedMs = 0) {
    this.#minRememberedMs = minRememberedMs;
  }

  /**
   * Returns the publisher's highest number so far if this message's number is not above it. Otherwise remembers the
   * message's number and returns undefined. Both count as activity of the publisher at `now`, in milliseconds.
   */
  checkNumber({ topic, session, number }: StreamMessage, now: number): number | undefined {
    // Neither the topic nor the session contains a blank.
    const key = `${topic} ${session}`;
    const last = this.#last.get(key);
    const isOutOfOrder = last !== undefined && number <= last.number && now - last.at < PublisherOrder.rememberedMs;
    this.#last.delete(key);
    this.#last.set(key, { number: isOutOfOrder ? last.number : number, at: now });
    this.#forgetOldest(now);
    return isOutOfOrder ? last.number : undefined;
  }

  /** Forgets all publishers, so that their numbers may start again. */
  clear(): void {
    this.#last.clear();
  }

  #forgetOldest(now: number): void {
    for (const [key, { at }] of this.#last) {
      if (this.#last.size <= PublisherOrder.maxPublishers || now - at < this.#minRememberedMs) return;
      this.#last.delete(key);
    }
  }
}
