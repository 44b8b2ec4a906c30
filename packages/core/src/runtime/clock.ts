/** Cancels a timer that has not fired yet; a second call does nothing. */
export interface TimerHandle {
  stop(): void;
}

/**
 * The time seam. `now` is monotonic milliseconds (the standard library's
 * performance.now); it never goes backwards and has no meaning outside the process.
 */
export interface Clock {
  now(): number;
  /** After no time: once what came in together has been taken. */
  once(ms: number, callback: () => void): TimerHandle;
  every(ms: number, callback: () => void): TimerHandle;
}
