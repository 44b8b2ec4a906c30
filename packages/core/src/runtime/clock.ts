/** Cancels a timer that has not fired yet; a second call does nothing. */
export interface TimerHandle {
  stop(): void;
}

/**
 * Time and timers; the simulator has its own implementation. `now` is in monotonic milliseconds (`performance.now` of
 * the standard library): it never goes backwards and has no meaning outside the process.
 */
export interface Clock {
  now(): number;
  /** Calls `callback` after `ms`; with 0, after events that arrived together have been processed. */
  once(ms: number, callback: () => void): TimerHandle;
  /** Calls `callback` every `ms` until stopped. */
  every(ms: number, callback: () => void): TimerHandle;
}
