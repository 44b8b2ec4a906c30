import type { TimerHandle, Clock } from "./clock.js";

export class HostClock implements Clock {
  now(): number {
    return performance.now();
  }

  once(ms: number, callback: () => void): TimerHandle {
    if (ms <= 0) {
      const turn = setImmediate(callback);
      return { stop: () => clearImmediate(turn) };
    }
    const timer = setTimeout(callback, ms);
    return { stop: () => clearTimeout(timer) };
  }

  every(ms: number, callback: () => void): TimerHandle {
    const timer = setInterval(callback, ms);
    return { stop: () => clearInterval(timer) };
  }
}
