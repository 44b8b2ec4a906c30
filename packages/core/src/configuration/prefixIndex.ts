/**
 * Finds the longest of many prefixes that a text starts with. A search takes one lookup for each distinct prefix
 * length, however many prefixes there are. Of two items with the same prefix the first counts.
 */
export class PrefixIndex<Item> {
  readonly #items = new Map<string, Item>();
  /** Longest first. */
  readonly #lengths: readonly number[];

  constructor(items: Iterable<Item>, prefixOf: (item: Item) => string) {
    for (const item of items) {
      const prefix = prefixOf(item);
      if (!this.#items.has(prefix)) this.#items.set(prefix, item);
    }
    const lengths = new Set([...this.#items.keys()].map((prefix) => prefix.length));
    this.#lengths = [...lengths].sort((a, b) => b - a);
  }

  /** The item with exactly this prefix. */
  get(prefix: string): Item | undefined {
    return this.#items.get(prefix);
  }

  /** The item with the longest prefix that the text starts with, among prefixes of at most `maxLength` characters. */
  longest(text: string, maxLength = text.length): Item | undefined {
    for (const length of this.#lengths) {
      if (length > maxLength || length > text.length) continue;
      const found = this.#items.get(text.slice(0, length));
      if (found !== undefined) return found;
    }
    return undefined;
  }

  /** All items whose prefix a text starts with, the longest first. */
  *all(text: string): Iterable<Item> {
    for (const length of this.#lengths) {
      const found = length > text.length ? undefined : this.#items.get(text.slice(0, length));
      if (found !== undefined) yield found;
    }
  }
}
