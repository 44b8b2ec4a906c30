import type { ClientConnection } from "../connections/clientConnection.js";
import type { StreamCursor } from "../subscriptions/streamCursor.js";
import type { Cursor } from "../subscriptions/cursor.js";
import { PublishNumbers } from "../publishing/publishNumbers.js";

/**
 * What the owner of a client's session holds: the publish numbers accepted, the publishes not yet
 * acknowledged, and the subscriptions with their cursors.
 * Invariants: `epoch` is the revision of the owner key written for this node; at most one connection.
 */
export class Session {
  readonly id: string;
  readonly epoch: number;
  readonly numbers = new PublishNumbers();
  /** Cursors of topics without a live subscription: shipped, or left by an earlier connection. */
  readonly resumeCursors = new Map<string, Cursor>();
  /** By topic: the cursor of its stream. Topics of one stream share one. */
  readonly subscriptions = new Map<string, StreamCursor>();
  connection: ClientConnection | undefined;
  /** Topics being looked up for the connection that there is: they count against the configuration's limit already. */
  joining = 0;
  /** The client brings its topics and cursors with every connection: none are kept for it in between. */
  bringsTopics = false;
  /** Called by the connection's node, as long as there is this connection. */
  whenConfigurationChanged: (() => void) | undefined;
  leftAt = 0;
  isStopped = false;
  readonly #completeAt: number;

  /**
   * `completeAt` is a time of the monotonic clock, in milliseconds; it lies ahead where no earlier owner shipped its
   * state.
   */
  constructor(id: string, epoch: number, completeAt = 0) {
    this.id = id;
    this.epoch = epoch;
    this.#completeAt = completeAt;
  }

  /**
   * Whether a number that is not known here was never handed to a leader by an earlier owner. Without that owner's
   * state this holds only once a client may no longer repeat what it sent there.
   */
  isComplete(now: number): boolean {
    return now >= this.#completeAt;
  }

  /**
   * Stops deliveries on the present connection, keeps their cursors, and tells the client why and when to come back.
   */
  disconnect(reason: string, retryAfterSeconds: number, now: number, address = ""): void {
    const { connection } = this;
    if (connection === undefined) return;
    this.connection = undefined;
    this.whenConfigurationChanged = undefined;
    this.joining = 0;
    this.leftAt = now;
    if (!this.bringsTopics)
      for (const [topic, cursor] of this.subscriptions) this.resumeCursors.set(topic, cursor.cursorOf(topic));
    for (const cursor of this.cursors()) cursor.stop();
    this.subscriptions.clear();
    if (connection.isClosed) return;
    connection.send({ kind: "goodbye", reason, comeBack: retryAfterSeconds, ...(address === "" ? {} : { address }) });
    connection.close();
  }

  /** The cursors of live subscriptions, one for each stream. */
  cursors(): ReadonlySet<StreamCursor> {
    return new Set(this.subscriptions.values());
  }

  /** By topic, the cursor of each subscription, live or not. */
  allCursors(): Map<string, Cursor> {
    const resumeCursors = new Map(this.resumeCursors);
    for (const [topic, cursor] of this.subscriptions) resumeCursors.set(topic, cursor.cursorOf(topic));
    return resumeCursors;
  }
}
