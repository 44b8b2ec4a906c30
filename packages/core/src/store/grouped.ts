/** Node 20 has no Map.groupBy. */
export const Grouped = {
  by<T, K>(list: Iterable<T>, keyOf: (one: T) => K): Map<K, T[]> {
    const groups = new Map<K, T[]>();
    for (const one of list) {
      const key = keyOf(one);
      const group = groups.get(key);
      if (group === undefined) groups.set(key, [one]);
      else group.push(one);
    }
    return groups;
  },
};
