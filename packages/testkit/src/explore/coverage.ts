/** How often each action was taken and each interesting event came about, over any number of runs. */
export class Coverage {
  readonly #counts = new Map<string, number>();

  count(what: string, times = 1): void {
    this.#counts.set(what, (this.#counts.get(what) ?? 0) + times);
  }

  of(what: string): number {
    return this.#counts.get(what) ?? 0;
  }

  get lines(): string[] {
    return [...this.#counts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([what, count]) => `${what}: ${count}`);
  }
}
