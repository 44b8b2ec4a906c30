import type { Beat, Clock } from "./clock.js";

export class HostClock implements Clock {
  now(): number {
    return performance.now();
  }

  once(ms: number, ring: () => void): Beat {
    if (ms <= 0) {
      const turn = setImmediate(ring);
      return { stop: () => clearImmediate(turn) };
    }
    const beat = setTimeout(ring, ms);
    return { stop: () => clearTimeout(beat) };
  }

  every(ms: number, ring: () => void): Beat {
    const beat = setInterval(ring, ms);
    return { stop: () => clearInterval(beat) };
  }
}
