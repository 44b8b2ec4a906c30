import type { Clock } from "@cranetrack/core/runtime/clock.js";

/**
 * When a member last heard its leader, and when it last had all that the leader had committed.
 * Invariant: what a process reads just after it stood still counts for nothing here, since it may have lain in a
 * buffer for as long.
 */
export class LeaderContact {
  /** Of an election's time: out of touch after the first; and a process without a timer for the second stood still. */
  static readonly limit = 1.3;
  static readonly stopped = 2;

  /** A leader without its majority, or a member that was not current, for longer than this is out of touch. */
  readonly limitMs: number;
  readonly #clock: Clock;
  readonly #stoppedMs: number;
  #heardAt: number;
  #currentAt = -Infinity;
  #heartbeatAt: number;
  #resumedAt = -Infinity;

  constructor(clock: Clock, electionMs: number) {
    this.#clock = clock;
    this.limitMs = electionMs * LeaderContact.limit;
    this.#stoppedMs = electionMs * LeaderContact.stopped;
    this.#heardAt = this.#heartbeatAt = clock.now();
  }

  /** Milliseconds since the leader's last message, whatever came of it. */
  get heardAgo(): number {
    return this.#clock.now() - this.#heardAt;
  }

  get isCurrent(): boolean {
    return !this.hasJustResumed && this.#clock.now() - this.#currentAt < this.limitMs;
  }

  get hasJustResumed(): boolean {
    this.#notice();
    return this.#clock.now() - this.#resumedAt < this.limitMs;
  }

  /** To be called at every timer of the member. */
  tick(): void {
    this.#notice();
    this.#heartbeatAt = this.#clock.now();
  }

  heard(): void {
    this.#heardAt = this.#clock.now();
  }

  /** Everything that the leader had committed when it sent its last message has been applied. */
  current(): void {
    if (!this.hasJustResumed) this.#currentAt = this.#clock.now();
  }

  #notice(): void {
    if (this.#clock.now() - this.#heartbeatAt > this.#stoppedMs)
      this.#resumedAt = this.#heartbeatAt = this.#clock.now();
  }
}
