import type { ClientConnection } from "../connections/clientConnection.js";
import type { Session } from "./session.js";
import type { EdgeParts } from "../edgeParts.js";

/** The session, now owned by this node; or why it was not admitted, and when the client may try again. */
export type AdmissionResult = { session: Session } | { reason: string; retryAfterSeconds: number; code: string };

const sessionName = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;

/** The steps by which a connection of any protocol gets a session that this node owns. */
export const AdmitSession = {
  /** Whether this is a valid session name. */
  isName(id: string): boolean {
    return sessionName.test(id);
  },

  /**
   * Makes this node the session's owner, or says when to retry. Waits up to `maxWaitMs` milliseconds for contact with
   * the store and for the old owner.
   */
  async run(edge: EdgeParts, id: string, maxWaitMs = 0): Promise<AdmissionResult> {
    const { sessions, node, lease } = edge;
    if (edge.isDraining) return { reason: "this node is stopping", retryAfterSeconds: 0.2, code: "stopping" };
    const startedAt = node.parts.clock.now();
    const deadline = startedAt + maxWaitMs;
    while ((!lease.isHeld || !node.feed.isFresh) && node.parts.clock.now() < deadline)
      await edge.storeContactDelay.next();
    if (!lease.isHeld || !node.feed.isFresh)
      return { reason: "this node is out of touch with the store", retryAfterSeconds: 1, code: "unavailable" };
    if (sessions.connectionCount + edge.admittingCount >= edge.liveSettings.maxConnections) {
      const retryAfterSeconds = 1 + node.parts.random.draw() * 2;
      return { reason: "this node has as many links as it takes", retryAfterSeconds, code: "full" };
    }
    edge.joinings.steps.record("admission", node.parts.clock.now() - startedAt);
    edge.admittingCount += 1;
    const claimed = await sessions.claim(id, deadline - node.parts.clock.now());
    edge.admittingCount -= 1;
    if ("retryAfterSeconds" in claimed) return { ...claimed, code: "session-elsewhere" };
    const { session } = claimed;
    if (edge.isDraining || session.isStopped)
      return { reason: "the session moved on meanwhile", retryAfterSeconds: 0.3, code: "session-elsewhere" };
    return { session };
  },

  /** Makes the connection the session's only one and closes an older one. */
  attach(edge: EdgeParts, session: Session, connection: ClientConnection): void {
    const { clock } = edge.node.parts;
    session.disconnect("replaced by a newer link", 0, clock.now());
    session.connection = connection;
    connection.onClose(() => {
      if (session.connection === connection) session.disconnect("closed by the client", 0, clock.now());
    });
  },
};
