/** What is known of a session's publish numbers in one topic. */
interface TopicNumbers {
  highest: number;
  /** Handed to a leader, and no answer for good came back. */
  open: Set<number>;
}
export interface NumberRecord {
  topic: string;
  number: number;
  isOpen: boolean;
}

/**
 * A session's publish numbers by topic: the highest taken, and those that are not acknowledged yet.
 * Invariants: a number is open from the moment it is handed over until an answer for good; at most `mostOpen` a
 * topic are remembered, the highest.
 */
export class PublishNumbers {
  static readonly maxOpen = 64;

  readonly #topics = new Map<string, TopicNumbers>();

  highestByTopic(): Record<string, number> {
    return Object.fromEntries([...this.#topics].map(([topic, { highest }]) => [topic, highest]));
  }

  isOpen(topic: string, number: number): boolean {
    return this.#topics.get(topic)?.open.has(number) === true;
  }

  opened(topic: string, number: number): void {
    const numbers = this.#of(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.add(number);
    if (numbers.open.size > PublishNumbers.maxOpen) numbers.open.delete(Math.min(...numbers.open));
  }

  resolved(topic: string, number: number): void {
    const numbers = this.#of(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.delete(number);
  }

  records(): NumberRecord[] {
    return [...this.#topics].flatMap(([topic, { highest, open }]) => [
      { topic, number: highest, isOpen: open.has(highest) },
      ...[...open].filter((number) => number !== highest).map((number) => ({ topic, number, isOpen: true })),
    ]);
  }

  restore(records: readonly NumberRecord[]): void {
    for (const { topic, number, isOpen } of records) {
      if (isOpen) this.opened(topic, number);
      else this.resolved(topic, number);
    }
  }

  #of(topic: string): TopicNumbers {
    let numbers = this.#topics.get(topic);
    if (numbers === undefined) this.#topics.set(topic, (numbers = { highest: 0, open: new Set() }));
    return numbers;
  }
}
