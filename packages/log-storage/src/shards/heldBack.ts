interface Held {
  number: number;
  until: number;
}

/**
 * Numbers that were sent away for now, of clients that send several without waiting: what a client sent behind one
 * is sent away as well, for a while, or the one that comes again would be below it and refused for good.
 */
export class HeldBack {
  static readonly holdMs = 1000;
  static readonly most = 10_000;

  readonly #held = new Map<string, Held>();

  /** Whether an earlier number of the sender in the topic is still to come again. */
  isBehind(topic: string, session: string, number: number, now: number): boolean {
    const held = this.#held.get(HeldBack.#key(topic, session));
    return held !== undefined && number > held.number && now < held.until;
  }

  note(topic: string, session: string, number: number, isUnavailable: boolean, now: number): void {
    const key = HeldBack.#key(topic, session);
    const held = this.#held.get(key);
    const isHeld = held !== undefined && now < held.until;
    if (!isUnavailable) {
      if (held !== undefined && (number >= held.number || !isHeld)) this.#held.delete(key);
      return;
    }
    if (isHeld && held.number < number) return;
    this.#held.delete(key);
    this.#held.set(key, { number, until: now + HeldBack.holdMs });
    if (this.#held.size > HeldBack.most)
      for (const [one, { until }] of this.#held) if (until <= now) this.#held.delete(one);
  }

  /** Neither part has a blank. */
  static #key(topic: string, session: string): string {
    return `${topic} ${session}`;
  }
}
