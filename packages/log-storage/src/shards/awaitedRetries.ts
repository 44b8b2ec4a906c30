/** The number whose retry is awaited, and until when, in ms. */
interface AwaitedRetry {
  number: number;
  until: number;
}

/**
 * Numbers that were answered as unavailable, of clients that send several publishes without waiting. Later numbers of
 * such a client are answered as unavailable as well, for a while: if one of them were accepted, the retry would be
 * below it and refused permanently.
 */
export class AwaitedRetries {
  /** How long a retry is awaited, in milliseconds. */
  static readonly retryWindowMs = 1000;
  /** Number of entries above which the expired ones are removed. */
  static readonly maxEntries = 10_000;

  readonly #awaited = new Map<string, AwaitedRetry>();

  /** Whether the retry of an earlier number of this session in the topic is awaited at `now`, in ms. */
  isBehindAwaitedRetry(topic: string, session: string, number: number, now: number): boolean {
    const awaited = this.#awaited.get(AwaitedRetries.#key(topic, session));
    return awaited !== undefined && number > awaited.number && now < awaited.until;
  }

  /** Records how a number was answered: if it was unavailable, its retry is awaited from `now`, in ms. */
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
      for (const [awaitedKey, { until }] of this.#awaited) if (until <= now) this.#awaited.delete(awaitedKey);
  }

  /** Unambiguous, because neither part contains a blank. */
  static #key(topic: string, session: string): string {
    return `${topic} ${session}`;
  }
}
