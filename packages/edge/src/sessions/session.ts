import type { ClientConnection } from "../connections/clientConnection.js";
import type { StreamCursor } from "../subscriptions/streamCursor.js";
import type { Cursor } from "../subscriptions/cursor.js";
import { DeliveredNumbers } from "../subscriptions/deliveredNumbers.js";
import { PendingPublishes } from "../publishing/pendingPublishes.js";
import type { PublishOutcome } from "../publishing/publishMessage.js";
import { PublishNumbers } from "../publishing/publishNumbers.js";

/**
 * A client's session at the node that owns it: the publish numbers used, those without a final outcome yet, and the
 * subscriptions with their cursors. Invariants: `epoch` is the revision at which this node wrote the owner key; the
 * session has at most one connection.
 */
export class Session {
  /** The session's name. */
  readonly id: string;
  /** Revision of the owner key; the fencing token of the session's publishes. */
  readonly epoch: number;
  readonly numbers = new PublishNumbers();
  readonly pendingPublishes = new PendingPublishes<PublishOutcome>();
  /** Cursors of topics without a live subscription: received from the old owner, or left by an earlier connection. */
  readonly resumeCursors = new Map<string, Cursor>();
  /** By topic: the cursor of its stream. Topics of the same stream share a cursor. */
  readonly subscriptions = new Map<string, StreamCursor>();
  connection: ClientConnection | undefined;
  /** The publish numbers that the present connection has received. */
  deliveredNumbers: DeliveredNumbers;
  /** Topics being looked up for the present connection. They already count against the limit of the configuration. */
  pendingTopicCount = 0;
  /** The client sends its topics and cursors with every connection, so the session keeps none in between. */
  clientKeepsSubscriptions = false;
  /** Called when the configuration changes, as long as the present connection lasts. */
  onConfigurationChanged: (() => void) | undefined;
  /** When the last connection ended, in milliseconds of the monotonic clock. */
  disconnectedAt = 0;
  /** This node no longer owns the session: nothing may be sent or published for it. */
  isStopped = false;
  readonly #repeatWindowMs: number;
  readonly #numbersCompleteAt: number;

  /**
   * `repeatWindowMs`: how long after a publish number was first sent it may arrive again, in milliseconds.
   * `numbersCompleteAt` is a time of the monotonic clock in milliseconds (see `knowsAllNumbers`). It lies in the future
   * if an earlier owner may have existed whose state was not received.
   */
  constructor(id: string, epoch: number, repeatWindowMs: number, numbersCompleteAt = 0) {
    this.id = id;
    this.epoch = epoch;
    this.deliveredNumbers = new DeliveredNumbers(repeatWindowMs);
    this.#repeatWindowMs = repeatWindowMs;
    this.#numbersCompleteAt = numbersCompleteAt;
  }

  /**
   * Whether all publish numbers in use are known here: an earlier owner has sent no other number to a leader. Without
   * that owner's state this holds only once a client may no longer repeat what it sent to that owner.
   */
  knowsAllNumbers(now: number): boolean {
    return now >= this.#numbersCompleteAt;
  }

  /**
   * Closes the present connection: stops its deliveries, keeps their cursors, and tells the client the reason, when to
   * reconnect and, if given, to which address.
   */
  disconnect(reason: string, retryAfterSeconds: number, now: number, address = ""): void {
    const { connection } = this;
    if (connection === undefined) return;
    this.connection = undefined;
    this.onConfigurationChanged = undefined;
    this.pendingTopicCount = 0;
    this.disconnectedAt = now;
    if (!this.clientKeepsSubscriptions)
      for (const [topic, cursor] of this.subscriptions) this.resumeCursors.set(topic, cursor.cursorOf(topic));
    for (const cursor of this.cursors()) cursor.stop();
    this.subscriptions.clear();
    this.deliveredNumbers = new DeliveredNumbers(this.#repeatWindowMs);
    if (connection.isClosed) return;
    connection.send({ kind: "goodbye", reason, comeBack: retryAfterSeconds, ...(address === "" ? {} : { address }) });
    connection.close();
  }

  /** The cursors of live subscriptions, one per stream. */
  cursors(): ReadonlySet<StreamCursor> {
    return new Set(this.subscriptions.values());
  }

  /** By topic, the cursor of each subscription, whether live or not. */
  allCursors(): Map<string, Cursor> {
    const cursors = new Map(this.resumeCursors);
    for (const [topic, cursor] of this.subscriptions) cursors.set(topic, cursor.cursorOf(topic));
    return cursors;
  }
}
