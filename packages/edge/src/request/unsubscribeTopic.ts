import { ApiReceipts, type ApiReceipt } from "@cranetrack/core/request/apiReceipt.js";
import { OwnerKey } from "../mark/ownerKey.js";
import { SubscriptionKey } from "../mark/subscriptionKey.js";
import type { Session } from "../process/session.js";
import type { ViseParts } from "../process/viseParts.js";

/** Ends one topic on the session's link at once, and its key in the store. */
export async function unsubscribeTopic(vise: ViseParts, session: Session, topic: string): Promise<ApiReceipt> {
  session.subscriptions.get(topic)?.remove(topic);
  session.subscriptions.delete(topic);
  session.places.delete(topic);
  const checks = [{ key: OwnerKey.of(session.id), revision: session.epoch }];
  const written = await vise.node.store.txn({ checks, deletes: [SubscriptionKey.of(session.id, topic)] });
  if (written.outcome === "done") return ApiReceipts.done({ receipt: "unsubscribed", topic });
  return written.outcome === "unsure"
    ? ApiReceipts.unsure("the store did not answer")
    : ApiReceipts.away("the session moved on meanwhile", 0.3);
}
