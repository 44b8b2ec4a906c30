import type { Clock } from "@cranetrack/core/runtime/clock.js";

/**
 * When a member last heard its leader, and when it last had all that the leader had committed.
 * Invariant: what a process reads just after it stood still counts for nothing here, since it may have lain in a
 * buffer for as long.
 */
export class LeaderContact {
  /** Out of touch after so many election timeouts. */
  static readonly limitTimeouts = 1.3;
  /** A process whose timers did not run for so many election timeouts stood still. */
  static readonly stoppedTimeouts = 2;

  /** A leader without its majority, or a member that was not current, for so many milliseconds is out of touch. */
  readonly limitMs: number;
  readonly #clock: Clock;
  readonly #stoppedMs: number;
  #heardAt: number;
  #currentAt = -Infinity;
  #tickAt: number;
  #resumedAt = -Infinity;

  constructor(clock: Clock, electionMs: number) {
    this.#clock = clock;
    this.limitMs = electionMs * LeaderContact.limitTimeouts;
    this.#stoppedMs = electionMs * LeaderContact.stoppedTimeouts;
    this.#heardAt = this.#tickAt = clock.now();
  }

  /** Milliseconds since the leader's last message, whatever came of it. */
  get heardAgo(): number {
    return this.#clock.now() - this.#heardAt;
  }

  /** Whether this member had lately all that its leader had committed, and did not stand still since. */
  get isCurrent(): boolean {
    return !this.hasJustResumed && this.#clock.now() - this.#currentAt < this.limitMs;
  }

  /** Whether the process stood still, and went on less than `limitMs` ago. */
  get hasJustResumed(): boolean {
    this.#detectPause();
    return this.#clock.now() - this.#resumedAt < this.limitMs;
  }

  /** To be called at every timer of the member. */
  tick(): void {
    this.#detectPause();
    this.#tickAt = this.#clock.now();
  }

  /** A message of the leader is here, whatever it says. */
  onMessage(): void {
    this.#heardAt = this.#clock.now();
  }

  /** Everything that the leader had committed when it sent its last message has been applied. */
  onCaughtUp(): void {
    if (!this.hasJustResumed) this.#currentAt = this.#clock.now();
  }

  #detectPause(): void {
    if (this.#clock.now() - this.#tickAt > this.#stoppedMs) this.#resumedAt = this.#tickAt = this.#clock.now();
  }
}
