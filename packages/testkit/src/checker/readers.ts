/** What one subscriber saw of one topic. Times are those of the history. */
export interface Reader {
  confirmedAt: number;
  asked: boolean;
  got: Map<string, number>;
  last: Map<string, number>;
  resetAt: number;
  /** When it last had the topic. */
  seenAt: number;
  /** Could not have the topic on a connection that it had; and until when it caught up after that. */
  isLagging: boolean;
  lagsUntil: number;
}

/** Subscribers by topic, each made when it is first named. */
export class Readers {
  readonly #byName = new Map<string, Reader>();

  /** With `subscriber topic`, in the order in which they came up. */
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
          asked: false,
          got: new Map(),
          last: new Map(),
          resetAt: -Infinity,
          seenAt: -Infinity,
          isLagging: false,
          lagsUntil: -Infinity,
        }),
      );
    return reader;
  }
}
