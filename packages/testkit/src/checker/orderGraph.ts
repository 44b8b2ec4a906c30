/** Orders seen by several readers; they agree exactly when putting them together makes no circle. */
export class OrderGraph {
  readonly #after = new Map<string, Set<string>>();

  add(order: readonly string[]): void {
    order.forEach((one, i) => {
      if (!this.#after.has(one)) this.#after.set(one, new Set());
      if (i > 0) this.#after.get(order[i - 1]!)!.add(one);
    });
  }

  /** True where two orders contradict each other. */
  hasCycle(): boolean {
    const waits = new Map<string, number>([...this.#after.keys()].map((one) => [one, 0]));
    for (const next of this.#after.values()) for (const one of next) waits.set(one, waits.get(one)! + 1);
    const free = [...waits].filter(([, count]) => count === 0).map(([one]) => one);
    let placed = 0;
    for (let one = free.pop(); one !== undefined; one = free.pop()) {
      placed += 1;
      for (const next of this.#after.get(one)!) {
        waits.set(next, waits.get(next)! - 1);
        if (waits.get(next) === 0) free.push(next);
      }
    }
    return placed < this.#after.size;
  }
}
