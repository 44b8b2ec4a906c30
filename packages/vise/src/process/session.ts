import type { ClientLink } from "../link/clientLink.js";
import type { Subscription } from "../link/subscription.js";
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
  readonly subscriptions = new Map<string, Subscription>();
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
    for (const subscription of this.subscriptions.values()) {
      subscription.stop();
      this.places.set(subscription.topic, { birth: subscription.birth, seq: subscription.cursor });
    }
    this.subscriptions.clear();
    if (link.isClosed) return;
    link.send({ kind: "goodbye", reason, comeBack });
    link.close();
  }

  /** Cursors of everything, linked or not. */
  cursors(): Map<string, Place> {
    const cursors = new Map(this.places);
    for (const [topic, { birth, cursor }] of this.subscriptions) cursors.set(topic, { birth, seq: cursor });
    return cursors;
  }
}
