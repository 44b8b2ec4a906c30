import type { ClientConnection } from "./clientConnection.js";

/** What a server that speaks its own protocol to clients calls, inside the process. Outcomes are values, not errors. */
export interface ClientEndpoint {
  /**
   * Claims the session for this node and ties the connection to it; all topics are brought by the client afterwards.
   */
  connect(session: string, connection: ClientConnection): Promise<Connected>;
  /** Subscribers of a topic now. */
  count(topic: string): Promise<Counted>;
}

/** One open session of one client; its calls end with `moved` once the session has another owner or connection. */
export interface SessionEndpoint {
  readonly session: string;
  /** Never throws. `confirmed`: messages follow on the connection only after this promise has resolved. */
  subscribe(topic: string, after?: string): Promise<Subscribed>;
  unsubscribe(topic: string): Promise<Unsubscribed>;
  publish(topic: string, number: number, payload: string): Promise<Published>;
  close(): void;
}

/** Of `connect`: `away` says when to try again; `malformed` that no session can have that name. */
export type Connected =
  | { outcome: "open"; connection: SessionEndpoint }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "malformed"; reason: string };

/** Of `count`; `away` where no leader could be asked in time. */
export type Counted =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; retryAfterSeconds: number };

/** Of `subscribe`; the cursor is the one from which messages follow. */
export type Subscribed = { outcome: "confirmed"; cursor: string } | NotSubscribed;

/**
 * Why a topic was not subscribed. `away` and `moved` promise that nothing was done; `expired` that messages after the
 * cursor are gone.
 */
export interface NotSubscribed {
  outcome:
    "unknown-topic" | "malformed-place" | "unknown-place" | "expired" | "too-many" | "malformed" | "away" | "moved";
  reason: string;
  retryAfterSeconds?: number;
}

/** Of `unsubscribe`: nothing of the topic follows after `done`. */
export interface Unsubscribed {
  outcome: "done" | "moved";
}

/**
 * `refused`: for good, never done. `away`: this and every earlier attempt of the number was never handed over and
 * never will be. `unsure`: may have been done; publishing the same number again resolves it.
 */
export type Published =
  | { outcome: "accepted"; cursor: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "unsure"; reason: string; retryAfterSeconds: number };
