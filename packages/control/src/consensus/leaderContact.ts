import type { Clock } from "@cranetrack/core/runtime/clock.js";

/**
 * Tracks when a follower last received a message from its leader, and when it last had applied everything that the
 * leader had committed.
 * Invariant: a process is not considered current because of messages that it reads just after a pause, since these may
 * have been in a buffer for the whole pause.
 */
export class LeaderContact {
  /** `staleAfterMs`, in election timeouts. */
  static readonly staleAfterTimeouts = 1.3;
  /** A process whose timers did not run for this many election timeouts was paused. */
  static readonly pauseTimeouts = 2;

  /**
   * After this many milliseconds without contact to its majority a leader is out of touch; the same goes for a follower
   * that was not current for as long.
   */
  readonly staleAfterMs: number;
  readonly #clock: Clock;
  readonly #pauseMs: number;
  #lastHeardAt: number;
  #lastCurrentAt = -Infinity;
  #lastTickAt: number;
  #resumedAt = -Infinity;

  constructor(clock: Clock, electionMs: number) {
    this.#clock = clock;
    this.staleAfterMs = electionMs * LeaderContact.staleAfterTimeouts;
    this.#pauseMs = electionMs * LeaderContact.pauseTimeouts;
    this.#lastHeardAt = this.#lastTickAt = clock.now();
  }

  /** Milliseconds since the last message from the leader, even if the message could not be applied. */
  get sinceHeardMs(): number {
    return this.#clock.now() - this.#lastHeardAt;
  }

  /** Whether this member recently had everything that its leader had committed, and was not paused since. */
  get isCurrent(): boolean {
    return !this.hasJustResumed && this.#clock.now() - this.#lastCurrentAt < this.staleAfterMs;
  }

  /** Whether the process resumed from a pause less than `staleAfterMs` ago. */
  get hasJustResumed(): boolean {
    this.#detectPause();
    return this.#clock.now() - this.#resumedAt < this.staleAfterMs;
  }

  /** Must be called at every tick of the member's timer: gaps between the calls show pauses of the process. */
  tick(): void {
    this.#detectPause();
    this.#lastTickAt = this.#clock.now();
  }

  /** Records a message from the leader, whatever its content. */
  onMessage(): void {
    this.#lastHeardAt = this.#clock.now();
  }

  /** Records that everything that the leader had committed when it sent its last message is applied here. */
  onCaughtUp(): void {
    if (!this.hasJustResumed) this.#lastCurrentAt = this.#clock.now();
  }

  #detectPause(): void {
    if (this.#clock.now() - this.#lastTickAt > this.#pauseMs) this.#resumedAt = this.#lastTickAt = this.#clock.now();
  }
}
