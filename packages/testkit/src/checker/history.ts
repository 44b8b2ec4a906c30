/**
 * An event that a client or an operator observed during a run. `at` is in milliseconds of the run's clock; `sender` and
 * `number` identify a message within its topic, and `text` is the JSON text of a configuration ("plan").
 */
export type HistoryEvent =
  /** The publisher starts an attempt to send a message; a repeated attempt has the same number. */
  | { kind: "tried"; at: number; sender: string; topic: string; number: number; payload: string }
  | { kind: "accepted"; at: number; sender: string; topic: string; number: number; place: string }
  /** The attempt was definitely refused, with an error code. */
  | { kind: "refused"; at: number; sender: string; topic: string; number: number; code: string }
  /** The attempt ended without a reply: the message may or may not have been accepted. */
  | { kind: "unsure"; at: number; sender: string; topic: string; number: number }
  /** The subscriber asks for a topic, or (`left`) drops the subscription. */
  | { kind: "asked"; at: number; subscriber: string; topic: string }
  | { kind: "left"; at: number; subscriber: string; topic: string }
  /** The subscriber is connected to a node. */
  | { kind: "linked"; at: number; subscriber: string; node: string }
  /** The connection closed; `isOwn`: the subscriber closed it itself. */
  | { kind: "closed"; at: number; subscriber: string; isOwn: boolean }
  /** The node confirmed the subscription: messages tried from now on are owed to the subscriber. */
  | { kind: "confirmed"; at: number; subscriber: string; topic: string }
  | { kind: "received"; at: number; subscriber: string; topic: string; sender: string; number: number; payload: string }
  /** The node reported that messages after the subscriber's position are no longer retained. */
  | { kind: "expired"; at: number; subscriber: string; topic: string; reason: string }
  /** The node ended the subscription. */
  | { kind: "ended"; at: number; subscriber: string; topic: string }
  /** The topic is temporarily unavailable on this connection. */
  | { kind: "faulted"; at: number; subscriber: string; topic: string; code: string }
  | { kind: "planTried"; at: number; version: number; text: string }
  | { kind: "planAccepted"; at: number; version: number; text: string }
  | { kind: "planRefused"; at: number; version: number; text: string }
  /** Rejected for good because another configuration was accepted instead. */
  | { kind: "planSuperseded"; at: number; version: number; text: string }
  /** A node replied that the configuration is accepted, whether or not the reply reached the operator. */
  | { kind: "planTaken"; at: number; version: number; text: string }
  /** The configuration that a node returned to a read. */
  | { kind: "planRead"; at: number; text: string }
  /** The configuration was found to be lost; `why` says how. */
  | { kind: "planLost"; at: number; why: string }
  /** The version of the configuration in force that a node reported. */
  | { kind: "marked"; at: number; node: string; version: number };

/** The append-only list of events of one run. */
export class History {
  readonly #seen: HistoryEvent[] = [];

  get events(): readonly HistoryEvent[] {
    return this.#seen;
  }

  add(seen: HistoryEvent): void {
    this.#seen.push(seen);
  }
}
