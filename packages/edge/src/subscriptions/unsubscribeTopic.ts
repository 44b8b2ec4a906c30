import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { SubscriptionKey } from "./subscriptionKey.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";

/** Ends the subscription of a topic at once and deletes its key in the store. */
export async function unsubscribeTopic(edge: EdgeParts, session: Session, topic: string): Promise<ApiReply> {
  session.subscriptions.get(topic)?.remove(topic);
  session.subscriptions.delete(topic);
  session.deliveredNumbers.forget(topic);
  session.resumeCursors.delete(topic);
  const checks = [{ key: OwnerKey.of(session.id), revision: session.epoch }];
  const written = await edge.node.store.txn({ checks, deletes: [SubscriptionKey.of(session.id, topic)] });
  if (written.outcome === "done") return ApiReplies.done({ receipt: "unsubscribed", topic });
  return written.outcome === "unsure"
    ? ApiReplies.unknown("the store did not answer")
    : ApiReplies.unavailable("the session moved on meanwhile", 0.3);
}
