import { EventEmitter } from "node:events";

/**
 * The most recent events in memory, in order, and the views that are built from them.
 * Invariant: an event is appended before any view sees it, and all views see the same order.
 */
export class ChangeJournal<Event> extends EventEmitter<{ appended: [] }> {
  readonly #maxRecent: number;
  readonly #toRetained: (event: Event) => Event;
  readonly #views: Array<(event: Event) => void> = [];
  #recentEvents: Event[] = [];

  /**
   * Keeps at least `maxRecent` events, once there are as many. `toRetained` gives the form in which an event is kept;
   * views get the event unchanged.
   */
  constructor(maxRecent = 2000, toRetained: (event: Event) => Event = (event) => event) {
    super();
    this.setMaxListeners(0);
    this.#toRetained = toRetained;
    this.#maxRecent = maxRecent;
  }

  /** The kept events, the oldest first. */
  get recent(): readonly Event[] {
    return this.#recentEvents;
  }

  /** Calls the view with every event appended from now on. */
  subscribe(view: (event: Event) => void): void {
    this.#views.push(view);
  }

  /** Keeps the event, then passes it to every view. */
  append(event: Event): void {
    this.#recentEvents.push(this.#toRetained(event));
    if (this.#recentEvents.length > this.#maxRecent * 2)
      this.#recentEvents = this.#recentEvents.slice(-this.#maxRecent);
    for (const view of this.#views) view(event);
    this.emit("appended");
  }
}
