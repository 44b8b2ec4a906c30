interface AwaitedRetry {
  number: number;
  until: number;
}

/**
 * Numbers that were sent away for now, of clients that send several without waiting: what a client sent behind one
 * is sent away as well, for a while, or the one that comes again would be below it and refused for good.
 */
export class AwaitedRetries {
  static readonly retryWindowMs = 1000;
  static readonly maxEntries = 10_000;

  readonly #awaited = new Map<string, AwaitedRetry>();

  /** Whether an earlier number of the sender in the topic is still to come again. */
  isBehindAwaitedRetry(topic: string, session: string, number: number, now: number): boolean {
    const awaited = this.#awaited.get(AwaitedRetries.#key(topic, session));
    return awaited !== undefined && number > awaited.number && now < awaited.until;
  }

  recordOutcome(topic: string, session: string, number: number, isUnavailable: boolean, now: number): void {
    const key = AwaitedRetries.#key(topic, session);
    const awaited = this.#awaited.get(key);
    const isAwaited = awaited !== undefined && now < awaited.until;
    if (!isUnavailable) {
      if (awaited !== undefined && (number >= awaited.number || !isAwaited)) this.#awaited.delete(key);
      return;
    }
    if (isAwaited && awaited.number < number) return;
    this.#awaited.delete(key);
    this.#awaited.set(key, { number, until: now + AwaitedRetries.retryWindowMs });
    if (this.#awaited.size > AwaitedRetries.maxEntries)
      for (const [one, { until }] of this.#awaited) if (until <= now) this.#awaited.delete(one);
  }

  /** Neither part has a blank. */
  static #key(topic: string, session: string): string {
    return `${topic} ${session}`;
  }
}
