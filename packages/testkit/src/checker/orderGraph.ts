/** Union of the orders observed by several subscribers; they are consistent exactly if the graph has no cycle. */
export class OrderGraph {
  readonly #successors = new Map<string, Set<string>>();

  /** Adds one subscriber's order: an edge from each item to the next. */
  add(order: readonly string[]): void {
    order.forEach((item, i) => {
      if (!this.#successors.has(item)) this.#successors.set(item, new Set());
      if (i > 0) this.#successors.get(order[i - 1]!)!.add(item);
    });
  }

  /** Whether the orders contradict each other (topological sort by Kahn's algorithm). */
  hasCycle(): boolean {
    const predecessorCounts = new Map<string, number>([...this.#successors.keys()].map((item) => [item, 0]));
    for (const next of this.#successors.values())
      for (const item of next) predecessorCounts.set(item, predecessorCounts.get(item)! + 1);
    const ready = [...predecessorCounts].filter(([, count]) => count === 0).map(([item]) => item);
    let placed = 0;
    for (let item = ready.pop(); item !== undefined; item = ready.pop()) {
      placed += 1;
      for (const next of this.#successors.get(item)!) {
        predecessorCounts.set(next, predecessorCounts.get(next)! - 1);
        if (predecessorCounts.get(next) === 0) ready.push(next);
      }
    }
    return placed < this.#successors.size;
  }
}
