import type { ClientConnection } from "./clientConnection.js";

/** What a front that speaks to clients in its own way stands on, inside the process. Outcomes are values. */
export interface ClientEndpoint {
  /**
   * Claims the session for this node and ties the connection to it; all topics are brought by the client afterwards.
   */
  connect(session: string, connection: ClientConnection): Promise<Connected>;
  /** Subscribers of a topic now. */
  count(topic: string): Promise<Counted>;
}

export interface SessionEndpoint {
  readonly session: string;
  /** Never throws. `confirmed`: messages follow on the connection only after this promise has settled. */
  subscribe(topic: string, after?: string): Promise<Subscribed>;
  unsubscribe(topic: string): Promise<Unsubscribed>;
  publish(topic: string, number: number, payload: string): Promise<Published>;
  close(): void;
}

export type Connected =
  | { outcome: "open"; connection: SessionEndpoint }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "malformed"; reason: string };

export type Counted =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; retryAfterSeconds: number };

export type Subscribed = { outcome: "confirmed"; cursor: string } | NotSubscribed;

export interface NotSubscribed {
  outcome:
    "unknown-topic" | "malformed-place" | "unknown-place" | "expired" | "too-many" | "malformed" | "away" | "moved";
  reason: string;
  retryAfterSeconds?: number;
}

export interface Unsubscribed {
  outcome: "done" | "moved";
}

/**
 * `refused`: for good, never done. `away`: this and every earlier try of the number was never handed over and
 * never will be. `unsure`: may have been done; the same number again settles it.
 */
export type Published =
  | { outcome: "accepted"; cursor: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "unsure"; reason: string; retryAfterSeconds: number };
