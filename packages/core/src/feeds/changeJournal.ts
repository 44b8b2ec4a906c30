import { EventEmitter } from "node:events";

/**
 * Events in the order they happened, in memory; views are folded from them.
 * Invariant: an event is appended before any view sees it, and all views see the same order.
 */
export class ChangeJournal<Event> extends EventEmitter<{ appended: [] }> {
  readonly #most: number;
  readonly #folds: Array<(event: Event) => void> = [];
  #events: Event[] = [];

  constructor(most = 2000) {
    super();
    this.setMaxListeners(0);
    this.#most = most;
  }

  get recent(): readonly Event[] {
    return this.#events;
  }

  fold(view: (event: Event) => void): void {
    this.#folds.push(view);
  }

  append(event: Event): void {
    this.#events.push(event);
    if (this.#events.length > this.#most * 2) this.#events = this.#events.slice(-this.#most);
    for (const fold of this.#folds) fold(event);
    this.emit("appended");
  }
}
