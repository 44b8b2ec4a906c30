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
 * Subscribes a connection to topics: finds where the delivery of each starts, writes the subscriptions to the store,
 * provided that the owner key still has the session's revision, and only then confirms and delivers. A connection has
 * at most as many topics as the configuration permits. Returns the faults, each of which affects only its topic;
 * undefined if the connection had to be closed.
 */
export async function subscribeTopics(
  edge: EdgeParts,
  session: Session,
  connection: ClientConnection,
  requests: readonly SubscriptionRequest[],
): Promise<TopicFault[] | undefined> {
  const newRequests = requests.filter(
    (request, i) =>
      !session.subscriptions.has(request.topic) &&
      requests.findIndex((candidate) => candidate.topic === request.topic) === i,
  );
  for (const { topic } of requests) {
    const cursor = session.subscriptions.get(topic);
    if (cursor !== undefined) sendConfirmed(connection, topic, cursor);
  }
  const freeSlots =
    Configurations.maxSubscriptions(edge.node.configuration.configuration) -
    session.subscriptions.size -
    session.pendingTopicCount;
  const admitted = newRequests.slice(0, Math.max(0, freeSlots));
  session.pendingTopicCount += admitted.length;
  const { starts, faults } = await findStarts(edge, session, admitted);
  const isStored = starts.length === 0 || (await storeSubscriptions(edge, session, starts));
  if (isStored && session.connection === connection)
    joinStreams(edge, session, connection, starts, {
      onJoined: ({ topic, cursor: startCursor, expired }, cursor) => {
        if (expired !== "") {
          const place = Cursors.write(startCursor.incarnation, startCursor.seq);
          connection.send({ kind: "expired", topic, place, reason: expired });
        }
        sendConfirmed(connection, topic, cursor);
      },
      onEnded: (topic, _cursor, reason) => {
        session.deliveredNumbers.forget(topic);
        connection.send({ kind: "ended", topic, reason });
      },
    });
  if (session.connection === connection) session.pendingTopicCount -= admitted.length;
  for (const { tail } of starts) edge.streams.release(tail);
  const tooMany = newRequests.slice(admitted.length).map(({ topic }) => {
    return { topic, code: "too-many", reason: "a connection may have no more topics by the plan in force" };
  });
  if (isStored) return [...faults, ...tooMany];
  if (session.connection === connection)
    session.disconnect("the subscriptions could not be kept", 0.5, edge.node.parts.clock.now());
  return undefined;
}

/** Writes the keys of the subscriptions, which only the session's owner may do; returns whether they were written. */
async function storeSubscriptions(edge: EdgeParts, session: Session, starts: readonly Start[]): Promise<boolean> {
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

function sendConfirmed(connection: ClientConnection, topic: string, cursor: StreamCursor): void {
  const { incarnation, seq } = cursor.cursorOf(topic);
  connection.send({ kind: "confirmed", topic, place: Cursors.write(incarnation, seq) });
}
