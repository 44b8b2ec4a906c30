/** Replies to publishes. Outcomes, codes and reasons are sent to edges and clients: their texts stay as they are. */
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { Verdict } from "./streamLog.js";

/** The body of a reply to a publish. */
export type PublishReply = Extract<BodyInit, { case: "publishReply" }>;

/** Refused permanently: the number never was and never will be delivered. */
export function refusedReply(code: string, reason: string): PublishReply {
  return { case: "publishReply", value: { outcome: "refused", code, reason } };
}

/** The publish may have been accepted: the publisher sends the same number again. */
export function unknownReply(reason: string): PublishReply {
  return { case: "publishReply", value: { outcome: "unsure", code: "unsure", reason, retryAfterSeconds: 0.5 } };
}

/** Not accepted: to be sent again after a delay, to `leader` if it is known; empty if it is not. */
export function unavailableReply(leader: string, reason: string, retryAfterSeconds: number): PublishReply {
  return { case: "publishReply", value: { outcome: "away", leader, retryAfterSeconds, reason } };
}

/** Not accepted: too many of the leader's entries wait for their commit. */
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

/** Not accepted: the disks of this leader or of a majority of the replicas are nearly full. */
export function noRoomReply(): PublishReply {
  return {
    case: "publishReply",
    value: {
      outcome: "busy",
      code: "no-room",
      reason: "the disks are nearly full: messages are accepted again when older ones have expired",
      retryAfterSeconds: 1,
    },
  };
}

/** The reply for a stream's verdict, the same for the first and for every later copy of the number. */
export function verdictReply(verdict: Verdict): PublishReply {
  if (verdict.kind === "unknown") return unknownReply(verdict.reason);
  if (verdict.kind === "refused") return refusedReply(verdict.code, verdict.reason);
  return { case: "publishReply", value: { outcome: "accepted", incarnation: verdict.incarnation, seq: verdict.seq } };
}
