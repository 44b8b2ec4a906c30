/** Replies to publishes. Outcomes, codes and reasons travel to edges and clients: their texts stay as they are. */
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { Verdict } from "./streamLog.js";

/** The body of a reply to a publish. */
export type PublishReply = Extract<BodyInit, { case: "publishReply" }>;

/** Refused for good: the number never was and never will be delivered. */
export function refusedReply(code: string, reason: string): PublishReply {
  return { case: "publishReply", value: { outcome: "refused", code, reason } };
}

/** It may have been done: the publisher sends the same number again. */
export function unknownReply(reason: string): PublishReply {
  return { case: "publishReply", value: { outcome: "unsure", code: "unsure", reason, retryAfterSeconds: 0.5 } };
}

/** Not done: to be sent again, to `leader` where it is known, else empty. */
export function unavailableReply(leader: string, reason: string, retryAfterSeconds: number): PublishReply {
  return { case: "publishReply", value: { outcome: "away", leader, retryAfterSeconds, reason } };
}

/** Not done: the leader has too many entries that wait for their commit. */
export function overloadedReply(): PublishReply {
  return {
    case: "publishReply",
    value: {
      outcome: "busy",
      code: "busy",
      reason: "too many publishes are waiting for the disk",
      retryAfterSeconds: 0.5,
    },
  };
}

/** The reply that a stream's verdict gives, for the first and for every later copy of the number. */
export function replyOf(verdict: Verdict): PublishReply {
  if (verdict.kind === "refused") return refusedReply(verdict.code, verdict.reason);
  return { case: "publishReply", value: { outcome: "accepted", incarnation: verdict.incarnation, seq: verdict.seq } };
}
