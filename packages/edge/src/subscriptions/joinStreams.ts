import { Grouped } from "@cranetrack/core/store/grouped.js";
import type { ClientConnection } from "../connections/clientConnection.js";
import type { Cursor } from "./cursor.js";
import { StreamCursor } from "./streamCursor.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import type { Start } from "./findStarts.js";

/** Callbacks for the start and the end of a topic's subscription. */
export interface JoinEvents {
  /** The topic has joined its stream; called before any of its messages is delivered. */
  onJoined?: (start: Start, cursor: StreamCursor) => void;
  /** The stream no longer has the topic; `cursor` is where a new subscription would continue. */
  onEnded: (topic: string, cursor: Cursor, reason: string) => void;
}

/**
 * Starts delivery of topics on a connection. All topics of a stream join its cursor before the cursor advances, so that
 * the messages they have missed are delivered in the order of the stream.
 */
export function joinStreams(
  edge: EdgeParts,
  session: Session,
  connection: ClientConnection,
  starts: readonly Start[],
  { onJoined, onEnded }: JoinEvents,
): void {
  for (const [tail, list] of Grouped.by(starts, (start) => start.tail)) {
    const joining = list.filter(({ topic }) => !session.subscriptions.has(topic));
    if (joining.length === 0) continue;
    let cursor = [...session.cursors()].find((present) => present.tail === tail && !present.isStopped);
    if (cursor === undefined) {
      cursor = new StreamCursor({
        table: edge.streams,
        tail: edge.streams.acquire(tail.route),
        connection,
        delivered: session.deliveredNumbers,
        clock: edge.node.parts.clock,
        maySend: () => edge.maySend(session, connection),
        onEnd: (topic, at, reason) => {
          session.subscriptions.delete(topic);
          onEnded(topic, at, reason);
        },
      });
    }
    for (const start of joining) {
      if (!edge.maySend(session, connection)) return cursor.stop();
      cursor.add(start.topic, start.cursor);
      session.subscriptions.set(start.topic, cursor);
      session.resumeCursors.delete(start.topic);
      onJoined?.(start, cursor);
    }
    cursor.start();
  }
}
