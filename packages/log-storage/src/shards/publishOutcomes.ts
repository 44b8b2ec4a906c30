import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { Verdict } from "./streamLog.js";

export type PublishOutcome = Extract<BodyInit, { case: "publishReply" }>;

/** Replies of publishes. */
export const PublishOutcomes = {
  refused(code: string, reason: string): PublishOutcome {
    return { case: "publishReply", value: { outcome: "refused", code, reason } };
  },

  /** It may have been done. */
  unknown(reason: string): PublishOutcome {
    return { case: "publishReply", value: { outcome: "unsure", code: "unsure", reason, retryAfterSeconds: 0.5 } };
  },

  of(verdict: Verdict): PublishOutcome {
    if (verdict.kind === "refused") return PublishOutcomes.refused(verdict.code, verdict.reason);
    return { case: "publishReply", value: { outcome: "accepted", incarnation: verdict.incarnation, seq: verdict.seq } };
  },
};
