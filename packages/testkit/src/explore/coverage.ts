/** Counts how often each action was performed and each notable event occurred, over any number of runs. */
export class Coverage {
  readonly #counts = new Map<string, number>();

  count(name: string, times = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + times);
  }

  countOf(name: string): number {
    return this.#counts.get(name) ?? 0;
  }

  /** One line per counted name, sorted. */
  get lines(): string[] {
    return [...this.#counts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, count]) => `${name}: ${count}`);
  }
}
