import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";

/** A push of another follow, kept until this one has its reply, counted already, next, or after a gap. */
export type PushOrder = "foreign" | "early" | "seen" | "next" | "gap";

/**
 * The numbered pushes of one follow, from whoever serves it.
 * Invariants: a push counts only in its number's turn; what comes before the follow's own reply waits for it, for
 * both may arrive in one piece.
 */
export class NumberedPushes {
  #follow = "";
  #seen = 0;
  #early: Push[] | undefined;

  /** The follow under way; empty where there is none. */
  get follow(): string {
    return this.#follow;
  }

  /** The number of the last push counted. */
  get seen(): number {
    return this.#seen;
  }

  /** A new follow is asked for: pushes wait for its reply. */
  begin(follow: string): void {
    this.#follow = follow;
    this.#early = [];
  }

  /** The reply is here; `number` is what pushes go on from, where it opened the follow. Returns what waited for it. */
  opened(number?: number): Push[] {
    const early = this.#early ?? [];
    this.#early = undefined;
    if (number !== undefined) this.#seen = number;
    return early;
  }

  /** Nothing is followed any more; every push is foreign until `begin`. */
  end(): void {
    this.#follow = "";
    this.#seen = 0;
    this.#early = undefined;
  }

  /** How a push fits in; one that is next counts from now on. */
  receive(push: Push): PushOrder {
    if (push.follow !== this.#follow) return "foreign";
    if (this.#early !== undefined) {
      this.#early.push(push);
      return "early";
    }
    if (push.number <= this.#seen) return "seen";
    if (push.number !== this.#seen + 1) return "gap";
    this.#seen = push.number;
    return "next";
  }
}
