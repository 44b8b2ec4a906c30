import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ClientConnection } from "../connections/clientConnection.js";
import type { StreamCursor } from "./streamCursor.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { Cursors } from "./cursor.js";
import { SubscriptionKey } from "./subscriptionKey.js";
import type { TopicFault } from "./topicFault.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import { findStarts, type Start, type SubscriptionRequest } from "./findStarts.js";
import { joinStreams } from "./joinStreams.js";

/**
 * Subscribes a connection to topics: finds where each one's stream starts, writes the key under the owner key's
 * revision, and only then confirms and delivers. A connection has no more topics than the configuration's limit. A
 * failure concerns its topic alone; undefined where the connection had to be closed.
 */
export async function subscribeTopics(
  edge: EdgeParts,
  session: Session,
  connection: ClientConnection,
  requests: readonly SubscriptionRequest[],
): Promise<TopicFault[] | undefined> {
  const fresh = requests.filter(
    (request, i) =>
      !session.subscriptions.has(request.topic) && requests.findIndex((one) => one.topic === request.topic) === i,
  );
  for (const { topic } of requests) {
    const cursor = session.subscriptions.get(topic);
    if (cursor !== undefined) confirm(connection, topic, cursor);
  }
  const room =
    Configurations.maxSubscriptions(edge.node.configuration.configuration) -
    session.subscriptions.size -
    session.joining;
  const admitted = fresh.slice(0, Math.max(0, room));
  session.joining += admitted.length;
  const { starts, faults } = await findStarts(edge, session, admitted);
  const isKept = starts.length === 0 || (await keep(edge, session, starts));
  if (isKept && session.connection === connection)
    joinStreams(edge, session, connection, starts, {
      whenJoined: ({ topic, cursor: startCursor, expired }, cursor) => {
        if (expired !== "") {
          const place = Cursors.write(startCursor.incarnation, startCursor.seq);
          connection.send({ kind: "expired", topic, place, reason: expired });
        }
        confirm(connection, topic, cursor);
      },
      whenEnded: (topic, _cursor, reason) => connection.send({ kind: "ended", topic, reason }),
    });
  if (session.connection === connection) session.joining -= admitted.length;
  for (const { tail } of starts) edge.streams.release(tail);
  const tooMany = fresh.slice(admitted.length).map(({ topic }) => {
    return { topic, code: "too-many", reason: "a connection may have no more topics by the plan in force" };
  });
  if (isKept) return [...faults, ...tooMany];
  if (session.connection === connection)
    session.disconnect("the subscriptions could not be kept", 0.5, edge.node.parts.clock.now());
  return undefined;
}

/** The keys, which only the session's owner may write. */
async function keep(edge: EdgeParts, session: Session, starts: readonly Start[]): Promise<boolean> {
  const lease = SubscriptionKey.leaseOf(session.id);
  const checks = [{ key: OwnerKey.of(session.id), revision: session.epoch }];
  const puts = starts.map(({ topic, cursor: startCursor }) => {
    return { key: SubscriptionKey.of(session.id, topic), value: SubscriptionKey.write(startCursor), lease };
  });
  const written = await edge.node.store.txn({ checks, puts });
  if (written.outcome !== "lost") return written.outcome === "done";
  await edge.node.store.call({ case: "grant", value: { lease, length: edge.sessionRetentionMs } });
  return (await edge.node.store.txn({ checks, puts })).outcome === "done";
}

function confirm(connection: ClientConnection, topic: string, cursor: StreamCursor): void {
  const { incarnation, seq } = cursor.cursorOf(topic);
  connection.send({ kind: "confirmed", topic, place: Cursors.write(incarnation, seq) });
}
