/** What is known of a session's publish numbers in one topic. */
interface TopicNumbers {
  highest: number;
  /** Handed to a leader, without a final outcome yet. */
  open: Set<number>;
}
/** One number as a takeover ships it. */
export interface NumberRecord {
  topic: string;
  number: number;
  isOpen: boolean;
}

/**
 * A session's publish numbers by topic: the highest taken, and those that are not acknowledged yet.
 * Invariants: a number is open from the moment it is handed over until a final outcome; at most `maxOpen` a topic are
 * remembered, the highest.
 */
export class PublishNumbers {
  static readonly maxOpen = 64;

  readonly #topics = new Map<string, TopicNumbers>();

  /** The highest number of each topic, by which a resuming client goes on. */
  highestByTopic(): Record<string, number> {
    return Object.fromEntries([...this.#topics].map(([topic, { highest }]) => [topic, highest]));
  }

  /** Whether an earlier attempt of the number may have been carried out. */
  isOpen(topic: string, number: number): boolean {
    return this.#topics.get(topic)?.open.has(number) === true;
  }

  /** The number is about to be handed to a leader. */
  opened(topic: string, number: number): void {
    const numbers = this.#of(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.add(number);
    if (numbers.open.size > PublishNumbers.maxOpen) numbers.open.delete(Math.min(...numbers.open));
  }

  /** The number has its final outcome. */
  resolved(topic: string, number: number): void {
    const numbers = this.#of(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.delete(number);
  }

  /** All that another owner must know. */
  records(): NumberRecord[] {
    return [...this.#topics].flatMap(([topic, { highest, open }]) => [
      { topic, number: highest, isOpen: open.has(highest) },
      ...[...open].filter((number) => number !== highest).map((number) => ({ topic, number, isOpen: true })),
    ]);
  }

  /** What an earlier owner shipped. */
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
