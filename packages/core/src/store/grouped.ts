/** Groups items by a key; Node 20 has no Map.groupBy. */
export const Grouped = {
  by<T, K>(items: Iterable<T>, keyOf: (one: T) => K): Map<K, T[]> {
    const groups = new Map<K, T[]>();
    for (const item of items) {
      const key = keyOf(item);
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [item]);
      else group.push(item);
    }
    return groups;
  },
};
