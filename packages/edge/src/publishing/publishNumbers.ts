/** A session's publish numbers in one topic. */
interface TopicNumbers {
  /** The highest number that was sent to a leader. */
  highest: number;
  /** The highest number that was sent while the topic's messages were kept in a leader's memory alone. */
  highestInMemory: number;
  /** Numbers up to the highest that no leader has accepted: every attempt was answered so. */
  notAccepted: Set<number>;
}
/** A publish number as the old owner sends it to the new one. */
export interface NumberRecord {
  topic: string;
  number: number;
  /** A leader may have accepted it. Owners of an earlier release clear this for numbers with a final outcome. */
  isOpen: boolean;
  /** It is the highest number that was sent while the topic's messages were kept in a leader's memory alone. */
  isInMemory: boolean;
}

/**
 * A session's publish numbers by topic. Because a client's numbers rise, a number above the highest one sent is new,
 * and every other number may have been accepted, unless it is remembered as not accepted.
 * Invariants: a number counts as sent from just before it is sent to a leader; what is forgotten counts as sent.
 */
export class PublishNumbers {
  /** Numbers per topic that are remembered as not accepted. */
  static readonly maxNotAccepted = 64;

  readonly #topics = new Map<string, TopicNumbers>();

  /** The highest number used in each topic; a client that resumes the session continues above it. */
  highestByTopic(): Record<string, number> {
    return Object.fromEntries([...this.#topics].map(([topic, { highest }]) => [topic, highest]));
  }

  /** Whether an earlier attempt with this number may have been accepted. */
  mayHaveBeenAccepted(topic: string, number: number): boolean {
    const numbers = this.#topics.get(topic);
    return numbers !== undefined && number <= numbers.highest && !numbers.notAccepted.has(number);
  }

  /** Whether a leader may have accepted the number in its memory, so that later leaders do not know it. */
  mayBeInMemory(topic: string, number: number): boolean {
    const numbers = this.#topics.get(topic);
    return numbers !== undefined && number <= numbers.highestInMemory && !numbers.notAccepted.has(number);
  }

  /** Records that the number is about to be sent to a leader. */
  recordSent(topic: string, number: number, isInMemory: boolean): void {
    const numbers = this.#numbersOf(topic);
    numbers.highest = Math.max(numbers.highest, number);
    if (isInMemory) numbers.highestInMemory = Math.max(numbers.highestInMemory, number);
    numbers.notAccepted.delete(number);
  }

  /** Records that no attempt with this number was accepted. */
  recordNotAccepted(topic: string, number: number): void {
    const { notAccepted } = this.#numbersOf(topic);
    notAccepted.add(number);
    if (notAccepted.size > PublishNumbers.maxNotAccepted) notAccepted.delete(Math.min(...notAccepted));
  }

  /** The records that the next owner needs. */
  records(): NumberRecord[] {
    return [...this.#topics].flatMap(([topic, { highest, highestInMemory }]) => [
      { topic, number: highest, isOpen: true, isInMemory: false },
      ...(highestInMemory === 0 ? [] : [{ topic, number: highestInMemory, isOpen: true, isInMemory: true }]),
    ]);
  }

  /** Restores the records that the old owner sent. */
  restore(records: readonly NumberRecord[]): void {
    for (const { topic, number, isInMemory } of records) this.recordSent(topic, number, isInMemory);
  }

  #numbersOf(topic: string): TopicNumbers {
    let numbers = this.#topics.get(topic);
    if (numbers === undefined)
      this.#topics.set(topic, (numbers = { highest: 0, highestInMemory: 0, notAccepted: new Set() }));
    return numbers;
  }
}
