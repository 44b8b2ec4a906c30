import type { ClientLink } from "../link/clientLink.js";
import type { StreamCursor } from "../link/streamCursor.js";
import type { Place } from "../mark/place.js";

export interface NumberState {
  number: number;
  isOpen: boolean;
}

/**
 * What the owner of a client's session holds: the publish numbers accepted, the publishes not yet
 * acknowledged, and the subscriptions with their cursors.
 * Invariants: `epoch` is the revision of the owner key written for this node; at most one link.
 */
export class Session {
  readonly id: string;
  readonly epoch: number;
  readonly numbers = new Map<string, NumberState>();
  /** Cursors of topics without a live subscription: shipped, or left by an earlier link. */
  readonly places = new Map<string, Place>();
  /** By topic: the cursor of its stream. Topics of one stream share one. */
  readonly subscriptions = new Map<string, StreamCursor>();
  link: ClientLink | undefined;
  leftAt = 0;
  isStopped = false;

  constructor(id: string, epoch: number) {
    this.id = id;
    this.epoch = epoch;
  }

  /** Stops deliveries on the present link, keeps their cursors, and says goodbye. */
  unlink(reason: string, comeBack: number, now: number): void {
    const { link } = this;
    if (link === undefined) return;
    this.link = undefined;
    this.leftAt = now;
    for (const [topic, cursor] of this.subscriptions) this.places.set(topic, cursor.placeOf(topic));
    for (const cursor of this.cursors()) cursor.stop();
    this.subscriptions.clear();
    if (link.isClosed) return;
    link.send({ kind: "goodbye", reason, comeBack });
    link.close();
  }

  cursors(): ReadonlySet<StreamCursor> {
    return new Set(this.subscriptions.values());
  }

  /** Places of everything, linked or not. */
  allPlaces(): Map<string, Place> {
    const places = new Map(this.places);
    for (const [topic, cursor] of this.subscriptions) places.set(topic, cursor.placeOf(topic));
    return places;
  }
}
