import { EventEmitter } from "node:events";

/**
 * Events in the order they happened, in memory; views are folded from them.
 * Invariant: an event is appended before any view sees it, and all views see the same order.
 */
export class ChangeJournal<Event> extends EventEmitter<{ appended: [] }> {
  readonly #most: number;
  readonly #remember: (event: Event) => Event;
  readonly #folds: Array<(event: Event) => void> = [];
  #events: Event[] = [];

  /** `remember` gives the form in which an event is kept; views see it as it is. */
  constructor(most = 2000, remember: (event: Event) => Event = (event) => event) {
    super();
    this.setMaxListeners(0);
    this.#remember = remember;
    this.#most = most;
  }

  get recent(): readonly Event[] {
    return this.#events;
  }

  fold(view: (event: Event) => void): void {
    this.#folds.push(view);
  }

  append(event: Event): void {
    this.#events.push(this.#remember(event));
    if (this.#events.length > this.#most * 2) this.#events = this.#events.slice(-this.#most);
    for (const fold of this.#folds) fold(event);
    this.emit("appended");
  }
}
