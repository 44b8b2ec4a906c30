/** What callers and operators saw, in the order they saw it. `at` is milliseconds of the run's clock. */
export type Seen =
  | { kind: "tried"; at: number; sender: string; topic: string; number: number; payload: string }
  | { kind: "accepted"; at: number; sender: string; topic: string; number: number; place: string }
  | { kind: "refused"; at: number; sender: string; topic: string; number: number; code: string }
  | { kind: "unsure"; at: number; sender: string; topic: string; number: number }
  | { kind: "asked"; at: number; subscriber: string; topic: string }
  | { kind: "left"; at: number; subscriber: string; topic: string }
  | { kind: "linked"; at: number; subscriber: string; node: string }
  | { kind: "closed"; at: number; subscriber: string }
  | { kind: "confirmed"; at: number; subscriber: string; topic: string }
  | { kind: "received"; at: number; subscriber: string; topic: string; sender: string; number: number; payload: string }
  | { kind: "expired"; at: number; subscriber: string; topic: string; reason: string }
  | { kind: "ended"; at: number; subscriber: string; topic: string }
  | { kind: "planAccepted"; at: number; mark: number; text: string }
  | { kind: "planRead"; at: number; text: string }
  | { kind: "planLost"; at: number; why: string };

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
