import type { ClientConnection } from "./clientConnection.js";

/**
 * The in-process API of an edge for a server that speaks its own protocol to clients. Failures are returned as
 * outcomes, not thrown.
 */
export interface ClientEndpoint {
  /**
   * Takes ownership of the session and attaches the connection to it. The client then subscribes to all its topics
   * itself: no earlier subscription is restored.
   */
  connect(session: string, connection: ClientConnection): Promise<ConnectResult>;
  /** The number of present subscribers of a topic at all edges. */
  count(topic: string): Promise<CountResult>;
}

/**
 * A client's open session. Once the session has another owner or a newer connection, `subscribe` and `unsubscribe` have
 * the outcome `moved`, and `publish` has the outcome `unsure`.
 */
export interface SessionEndpoint {
  /** The session's name. */
  readonly session: string;
  /**
   * Subscribes to a topic, after the cursor `after` if there is one. Never rejects. After `confirmed`, messages are
   * delivered on the connection, but none before this promise has resolved.
   */
  subscribe(topic: string, after?: string): Promise<SubscribeResult>;
  /** Ends the subscription of a topic, if there is one. */
  unsubscribe(topic: string): Promise<UnsubscribeResult>;
  /** Publishes a message. `number` rises with each message of the topic; repeating one is idempotent. */
  publish(topic: string, number: number, payload: string): Promise<PublishResult>;
  /** Disconnects the session, unless a newer connection has replaced this one. */
  close(): void;
}

/** Result of `connect`. `away`: try again after the given time; `malformed`: the session name is invalid. */
export type ConnectResult =
  | { outcome: "open"; connection: SessionEndpoint }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "malformed"; reason: string };

/** Result of `count`. `away`: no leader answered in time. */
export type CountResult =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; retryAfterSeconds: number };

/** Result of `subscribe`. `cursor` is the position after which delivery starts. */
export type SubscribeResult = { outcome: "confirmed"; cursor: string } | SubscribeRefusal;

/**
 * Why a topic was not subscribed. `away` and `moved` guarantee that nothing was done; `expired` means that messages
 * after the cursor have been deleted.
 */
export interface SubscribeRefusal {
  outcome:
    "unknown-topic" | "malformed-place" | "unknown-place" | "expired" | "too-many" | "malformed" | "away" | "moved";
  reason: string;
  retryAfterSeconds?: number;
}

/** Result of `unsubscribe`: after `done` no message of the topic is delivered. */
export interface UnsubscribeResult {
  outcome: "done" | "moved";
}

/**
 * Result of `publish`. `refused`: permanent, the message was not and will not be published. `away`: neither this nor
 * any earlier attempt with this number published the message, and none will. `unsure`: the message may have been
 * published; publishing the same number again resolves it.
 */
export type PublishResult =
  | { outcome: "accepted"; cursor: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; retryAfterSeconds: number }
  | { outcome: "unsure"; reason: string; retryAfterSeconds: number };
