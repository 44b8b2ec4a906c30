/**
 * A session's publishes that have no outcome yet. A number that arrives again meanwhile, as a client sends it after a
 * reconnect, shares the outcome of its first attempt: by itself it could be answered as never sent while the first
 * attempt is still to be sent.
 */
export class PendingPublishes<Outcome> {
  /** By topic, then by number. */
  readonly #outcomes = new Map<string, Map<number, Promise<Outcome>>>();

  /** The outcome of the pending publish with this number, or that of `attempt`, which is pending from now on. */
  share(topic: string, number: number, attempt: () => Promise<Outcome>): Promise<Outcome> {
    const pending = this.#outcomes.get(topic)?.get(number);
    if (pending !== undefined) return pending;
    const outcome = attempt().finally(() => this.#remove(topic, number));
    const outcomes = this.#outcomes.get(topic) ?? new Map<number, Promise<Outcome>>();
    this.#outcomes.set(topic, outcomes.set(number, outcome));
    return outcome;
  }

  #remove(topic: string, number: number): void {
    const outcomes = this.#outcomes.get(topic);
    outcomes?.delete(number);
    if (outcomes?.size === 0) this.#outcomes.delete(topic);
  }
}
