import type { ClientLink } from "../link/clientLink.js";
import type { PublishOutcome } from "../request/publishMessage.js";

export type SubscribeOutcome =
  | { outcome: "confirmed"; place: string }
  | {
      outcome:
        "unknown-topic" | "malformed-place" | "unknown-place" | "expired" | "too-many" | "malformed" | "away" | "moved";
      reason: string;
      comeBack?: number | undefined;
    };

export type ConnectOutcome =
  | { outcome: "open"; connection: Connection }
  | { outcome: "away"; reason: string; comeBack: number }
  | { outcome: "malformed"; reason: string };

export type CountOutcome =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; comeBack: number };

/** An edge, as the fronts that clients connect to see it. No call throws; waits (`comeBack`) are in seconds. */
export interface Connections {
  /** Claims the session for this node and ties the link to it; the client brings all its topics afterwards. */
  connect(session: string, link: ClientLink): Promise<ConnectOutcome>;
  /** Subscribers of a topic, over all edges. */
  count(topic: string): Promise<CountOutcome>;
}

/** One client's connection, as long as the session is this node's and no newer connection took its place. */
export interface Connection {
  readonly session: string;
  /** Messages follow on the link only after this promise has settled with `confirmed`. */
  subscribe(topic: string, after?: string): Promise<SubscribeOutcome>;
  unsubscribe(topic: string): Promise<{ outcome: "done" | "moved" }>;
  publish(topic: string, number: number, payload: string): Promise<PublishOutcome>;
  close(): void;
}
