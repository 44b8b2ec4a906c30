/** State of one subscription: what one subscriber received on one topic. Times are those of the history. */
export interface Reader {
  /** When the present subscription was first confirmed; Infinity while it is not. */
  confirmedAt: number;
  isSubscribed: boolean;
  /** When each message was received, by message key. */
  receivedAt: Map<string, number>;
  /** The highest message number received from each sender. */
  lastNumbers: Map<string, number>;
  /** When the subscriber was last told that its position expired; -Infinity if never. */
  expiredAt: number;
  /** When the subscription was last known to work: the last confirmation, message or expiry. */
  lastSeenAt: number;
  /** The topic is unavailable on an open connection and has not been confirmed again. */
  isLagging: boolean;
  /** When the topic was confirmed again after it had been unavailable; older messages arrive as catch-up. */
  caughtUpAt: number;
}

/** The readers of a history by subscriber and topic; each is created when it is first looked up. */
export class Readers {
  readonly #byName = new Map<string, Reader>();

  /** All readers by the key `SUBSCRIBER TOPIC`, in the order in which they were created. */
  get all(): ReadonlyMap<string, Reader> {
    return this.#byName;
  }

  find(subscriber: string, topic: string): Reader {
    const key = `${subscriber} ${topic}`;
    let reader = this.#byName.get(key);
    if (reader === undefined)
      this.#byName.set(
        key,
        (reader = {
          confirmedAt: Infinity,
          isSubscribed: false,
          receivedAt: new Map(),
          lastNumbers: new Map(),
          expiredAt: -Infinity,
          lastSeenAt: -Infinity,
          isLagging: false,
          caughtUpAt: -Infinity,
        }),
      );
    return reader;
  }
}
