import { type } from "arktype";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { BodyReader } from "@cranetrack/core/http/bodyReader.js";
import type { ClientConnection } from "./clientConnection.js";
import { Cursors } from "../subscriptions/cursor.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import { AdmitSession } from "../sessions/admitSession.js";
import type { SubscriptionRequest } from "../subscriptions/findStarts.js";
import type { TopicFault } from "../subscriptions/topicFault.js";
import { subscribeTopics } from "../subscriptions/subscribeTopics.js";

const connectionBody = type({
  "+": "reject",
  "subscriptions?": type({ "+": "reject", topic: "string", "after?": "string" }).array().atMostLength(100_000),
});

/**
 * Opens a client's connection over HTTP, new or resumed: admits the session, attaches the connection and subscribes to
 * the requested topics, or to those kept for the session if the request names none. Returns undefined once the
 * connection is open, otherwise the reply that refuses it.
 */
export async function openConnection(
  edge: EdgeParts,
  id: string,
  body: Uint8Array,
  open: () => ClientConnection,
): Promise<ApiReply | undefined> {
  if (!AdmitSession.isName(id))
    return ApiReplies.fault(
      400,
      "malformed",
      "a session is named by 1 to 64 letters, digits, dots, dashes and underscores",
      { problems: [{ path: "session", problem: "is malformed" }] },
    );
  const parsed = BodyReader.read(body.length === 0 ? Buffer.from("{}") : body, connectionBody);
  if ("reply" in parsed) return parsed.reply;
  const malformed = (parsed.value.subscriptions ?? []).findIndex((request) => !Configurations.isTopic(request.topic));
  if (malformed !== -1)
    return ApiReplies.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: `subscriptions.${malformed}.topic`, problem: "must be space/name" }],
    });
  const admitted = await AdmitSession.run(edge, id);
  if (!("session" in admitted))
    return ApiReplies.unavailable(admitted.reason, admitted.retryAfterSeconds, admitted.code);
  const { session } = admitted;
  const connection = open();
  AdmitSession.attach(edge, session, connection);
  session.clientKeepsSubscriptions = false;
  const keptRequests: SubscriptionRequest[] = [...session.resumeCursors.keys()].map((topic) => ({ topic }));
  connection.send({
    kind: "open",
    session: id,
    node: edge.node.rpc.name,
    beatMs: edge.heartbeatIntervalMs,
    numbers: session.numbers.highestByTopic(),
  });
  replaceResumeCursors(session, parsed.value.subscriptions);
  const faults = await subscribeTopics(edge, session, connection, parsed.value.subscriptions ?? keptRequests);
  if (session.connection === connection) for (const fault of faults ?? []) connection.send(faultLine(fault));
  return undefined;
}

/** A topic's fault as an event of the HTTP API. */
function faultLine({ topic, code, reason, retryAfterSeconds }: TopicFault): object {
  return {
    kind: "fault",
    topic,
    code,
    reason,
    ...(retryAfterSeconds === undefined ? {} : { comeBack: retryAfterSeconds }),
  };
}

/** A request that names topics replaces the session's subscriptions: cursors kept for other topics are dropped. */
function replaceResumeCursors(session: Session, requests: readonly SubscriptionRequest[] | undefined): void {
  if (requests === undefined) return;
  const requestedTopics = new Set(requests.map((request) => request.topic));
  for (const topic of session.resumeCursors.keys())
    if (!requestedTopics.has(topic)) session.resumeCursors.delete(topic);
  for (const { topic, after } of requests) {
    const cursor = Cursors.read(after);
    if (cursor !== undefined) session.resumeCursors.set(topic, cursor);
  }
}
