import type { Push } from "@cranetrack/core/gen/cranetrack_pb.js";

/**
 * How a push fits in. `foreign`: it belongs to another follow; `early`: it came before the follow's reply and is kept;
 * `seen`: its number was already counted; `next`: it has the next number; `gap`: a push before it is missing.
 */
export type PushOrder = "foreign" | "early" | "seen" | "next" | "gap";

/**
 * Checks the numbers of the pushes of one follow, sent by the leader or the replica that serves it.
 * Invariants: a push counts only if it has the next number; pushes that arrive before the reply to the follow wait for
 * it, as both may arrive in one network read.
 */
export class NumberedPushes {
  #follow = "";
  #seen = 0;
  #early: Push[] | undefined;

  /** Identifier of the present follow; empty if there is none. */
  get follow(): string {
    return this.#follow;
  }

  /** The number of the last counted push. */
  get seen(): number {
    return this.#seen;
  }

  /** A new follow was requested: its pushes wait for the reply. */
  begin(follow: string): void {
    this.#follow = follow;
    this.#early = [];
  }

  /**
   * The reply has arrived. `number`: the number before the first push, if this reply opened the follow. Returns the
   * pushes that waited for the reply.
   */
  onFollowReply(number?: number): Push[] {
    const early = this.#early ?? [];
    this.#early = undefined;
    if (number !== undefined) this.#seen = number;
    return early;
  }

  /** Ends the follow; every push is foreign until `begin`. */
  end(): void {
    this.#follow = "";
    this.#seen = 0;
    this.#early = undefined;
  }

  /** Returns how a push fits in, and counts it if it is the next. */
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
