import { Grouped } from "@cranetrack/core/store/grouped.js";
import type { ClientConnection } from "../connections/clientConnection.js";
import type { Cursor } from "./cursor.js";
import { StreamCursor } from "./streamCursor.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import type { Start } from "./findStarts.js";

/** What a connection does about its topics' subscriptions. */
export interface JoinEvents {
  whenJoined?: (start: Start, cursor: StreamCursor) => void;
  whenEnded: (topic: string, cursor: Cursor, reason: string) => void;
}

/**
 * Subscribes a connection to topics from their starts on. All topics of a stream join its cursor before it moves, so
 * that what they missed comes in the stream's order. `whenJoined` is called for each topic before anything of it is
 * delivered, `whenEnded` where its stream has it no more.
 */
export function joinStreams(
  edge: EdgeParts,
  session: Session,
  connection: ClientConnection,
  starts: readonly Start[],
  { whenJoined, whenEnded }: JoinEvents,
): void {
  for (const [tail, list] of Grouped.by(starts, (start) => start.tail)) {
    const joining = list.filter(({ topic }) => !session.subscriptions.has(topic));
    if (joining.length === 0) continue;
    let cursor = [...session.cursors()].find((one) => one.tail === tail && !one.isStopped);
    if (cursor === undefined) {
      cursor = new StreamCursor({
        table: edge.streams,
        tail: edge.streams.acquire(tail.route),
        connection,
        clock: edge.node.parts.clock,
        maySend: () => edge.maySend(session, connection),
        onEnd: (topic, at, reason) => {
          session.subscriptions.delete(topic);
          whenEnded(topic, at, reason);
        },
      });
    }
    for (const start of joining) {
      if (!edge.maySend(session, connection)) return cursor.stop();
      cursor.add(start.topic, start.cursor);
      session.subscriptions.set(start.topic, cursor);
      session.resumeCursors.delete(start.topic);
      whenJoined?.(start, cursor);
    }
    cursor.start();
  }
}
