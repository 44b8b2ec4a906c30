import type { TimerHandle, Clock } from "./clock.js";

/** The clock and timers of the operating system. */
export class HostClock implements Clock {
  now(): number {
    return performance.now();
  }

  once(ms: number, callback: () => void): TimerHandle {
    if (ms <= 0) {
      const immediate = setImmediate(callback);
      return { stop: () => clearImmediate(immediate) };
    }
    const timer = setTimeout(callback, ms);
    return { stop: () => clearTimeout(timer) };
  }

  every(ms: number, callback: () => void): TimerHandle {
    const timer = setInterval(callback, ms);
    return { stop: () => clearInterval(timer) };
  }
}
