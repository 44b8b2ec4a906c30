import type { TimerHandle, Clock } from "./clock.js";

export class HostClock implements Clock {
  now(): number {
    return performance.now();
  }

  once(ms: number, ring: () => void): TimerHandle {
    if (ms <= 0) {
      const turn = setImmediate(ring);
      return { stop: () => clearImmediate(turn) };
    }
    const timer = setTimeout(ring, ms);
    return { stop: () => clearTimeout(timer) };
  }

  every(ms: number, ring: () => void): TimerHandle {
    const timer = setInterval(ring, ms);
    return { stop: () => clearInterval(timer) };
  }
}
