/** A session's publish numbers in one topic. */
interface TopicNumbers {
  highest: number;
  /** Numbers sent to a leader that have no final outcome yet. */
  open: Set<number>;
}
/** A publish number as the old owner sends it to the new one. */
export interface NumberRecord {
  topic: string;
  number: number;
  /** It was sent to a leader and has no final outcome yet. */
  isOpen: boolean;
}

/**
 * A session's publish numbers by topic: the highest one used, and the open ones, which have no final outcome yet.
 * Invariants: a number is open from just before it is sent to a leader until its final outcome; of the open numbers of
 * a topic, the highest `maxOpen` are remembered.
 */
export class PublishNumbers {
  /** Open numbers remembered per topic. */
  static readonly maxOpen = 64;

  readonly #topics = new Map<string, TopicNumbers>();

  /** The highest number used in each topic; a client that resumes the session continues above it. */
  highestByTopic(): Record<string, number> {
    return Object.fromEntries([...this.#topics].map(([topic, { highest }]) => [topic, highest]));
  }

  /** Whether an earlier attempt with this number may have been accepted. */
  isOpen(topic: string, number: number): boolean {
    return this.#topics.get(topic)?.open.has(number) === true;
  }

  /** Records that the number is about to be sent to a leader. */
  recordOpen(topic: string, number: number): void {
    const numbers = this.#numbersOf(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.add(number);
    if (numbers.open.size > PublishNumbers.maxOpen) numbers.open.delete(Math.min(...numbers.open));
  }

  /** Records that the number has its final outcome. */
  recordResolved(topic: string, number: number): void {
    const numbers = this.#numbersOf(topic);
    numbers.highest = Math.max(numbers.highest, number);
    numbers.open.delete(number);
  }

  /** The records that the next owner needs. */
  records(): NumberRecord[] {
    return [...this.#topics].flatMap(([topic, { highest, open }]) => [
      { topic, number: highest, isOpen: open.has(highest) },
      ...[...open].filter((number) => number !== highest).map((number) => ({ topic, number, isOpen: true })),
    ]);
  }

  /** Restores the records that the old owner sent. */
  restore(records: readonly NumberRecord[]): void {
    for (const { topic, number, isOpen } of records) {
      if (isOpen) this.recordOpen(topic, number);
      else this.recordResolved(topic, number);
    }
  }

  #numbersOf(topic: string): TopicNumbers {
    let numbers = this.#topics.get(topic);
    if (numbers === undefined) this.#topics.set(topic, (numbers = { highest: 0, open: new Set() }));
    return numbers;
  }
}
