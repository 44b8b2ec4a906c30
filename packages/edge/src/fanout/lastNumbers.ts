/** The highest number of each sender in each topic. Bounded: who was silent longest is forgotten first. */
export class LastNumbers {
  static readonly most = 5000;

  readonly #numbers = new Map<string, number>();

  of(topic: string, session: string): number {
    return this.#numbers.get(LastNumbers.#key(topic, session)) ?? 0;
  }

  note(topic: string, session: string, number: number): void {
    this.#note(LastNumbers.#key(topic, session), number);
  }

  add(other: LastNumbers): void {
    for (const [key, number] of other.#numbers) this.#note(key, number);
  }

  #note(key: string, number: number): void {
    const last = this.#numbers.get(key) ?? 0;
    this.#numbers.delete(key);
    this.#numbers.set(key, Math.max(last, number));
    if (this.#numbers.size <= LastNumbers.most) return;
    for (const oldest of this.#numbers.keys()) {
      this.#numbers.delete(oldest);
      break;
    }
  }

  /** Neither part has a blank. */
  static #key(topic: string, session: string): string {
    return `${topic} ${session}`;
  }
}
