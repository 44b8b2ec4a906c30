/** What callers and operators saw, in the order they saw it. `at` is milliseconds of the run's clock. */
export type Seen =
  | { kind: "tried"; at: number; sender: string; topic: string; number: number; payload: string }
  | { kind: "accepted"; at: number; sender: string; topic: string; number: number; place: string }
  | { kind: "refused"; at: number; sender: string; topic: string; number: number; code: string }
  | { kind: "unsure"; at: number; sender: string; topic: string; number: number }
  | { kind: "asked"; at: number; subscriber: string; topic: string }
  | { kind: "left"; at: number; subscriber: string; topic: string }
  | { kind: "linked"; at: number; subscriber: string; node: string }
  /** `isOwn`: the caller dropped off of its own accord. */
  | { kind: "closed"; at: number; subscriber: string; isOwn: boolean }
  | { kind: "confirmed"; at: number; subscriber: string; topic: string }
  | { kind: "received"; at: number; subscriber: string; topic: string; sender: string; number: number; payload: string }
  | { kind: "expired"; at: number; subscriber: string; topic: string; reason: string }
  | { kind: "ended"; at: number; subscriber: string; topic: string }
  /** The topic could not be had on this link just now. */
  | { kind: "faulted"; at: number; subscriber: string; topic: string; code: string }
  | { kind: "planTried"; at: number; version: number; text: string }
  | { kind: "planAccepted"; at: number; version: number; text: string }
  | { kind: "planRefused"; at: number; version: number; text: string }
  /** Another plan stands in its way, for good. */
  | { kind: "planSuperseded"; at: number; version: number; text: string }
  /** A node answered that it is accepted, whether that arrived or not. */
  | { kind: "planTaken"; at: number; version: number; text: string }
  | { kind: "planRead"; at: number; text: string }
  | { kind: "planLost"; at: number; why: string }
  /** The mark of the plan in force that a node showed. */
  | { kind: "marked"; at: number; node: string; version: number };

/** A run's history. Append-only. */
export class History {
  readonly #seen: Seen[] = [];

  get seen(): readonly Seen[] {
    return this.#seen;
  }

  add(seen: Seen): void {
    this.#seen.push(seen);
  }
}
