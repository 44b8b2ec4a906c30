import { test } from "node:test";
import { expect } from "earl";
import { SlowMajorityDetector } from "./slowMajorityDetector.js";

/** Checks every 75 ms; returns the time at which the leader should yield, undefined if at none. */
function firstYieldAt(detector: SlowMajorityDetector, from: number, to: number, answerMs: number): number | undefined {
  for (let now = from; now <= to; now += 75) if (detector.shouldYield(now, answerMs)) return now;
  return undefined;
}

// Guards against a fault after a power loss: new leaders yielded within 0.4 s, while all members were catching up.
test("a leader doesn't yield for slowness at the start of its term", () => {
  const detector = new SlowMajorityDetector();
  const { warmUpMs, minDurationMs, slowMs } = SlowMajorityDetector;
  detector.onTermStarted(0);
  expect(firstYieldAt(detector, 75, warmUpMs + minDurationMs, slowMs + 1)).toEqual(undefined);
  expect(detector.shouldYield(warmUpMs + minDurationMs + 1, slowMs + 1)).toEqual(true);
});

test("a leader yields once slowness has lasted, and not again during the cool-down", () => {
  const detector = new SlowMajorityDetector();
  detector.onTermStarted(-SlowMajorityDetector.warmUpMs);
  detector.shouldYield(0, 0);
  expect(firstYieldAt(detector, 75, 600, SlowMajorityDetector.slowMs)).toEqual(undefined);
  expect(firstYieldAt(detector, 675, 2000, SlowMajorityDetector.slowMs + 1)).toEqual(975);
  expect(firstYieldAt(detector, 1050, 10_000, SlowMajorityDetector.slowMs + 1)).toEqual(undefined);
});

test("a leader doesn't yield soon after another leader has", () => {
  const detector = new SlowMajorityDetector();
  detector.onTermStarted(-SlowMajorityDetector.warmUpMs);
  detector.onOtherYielded(0);
  const { coolDownMs, slowMs } = SlowMajorityDetector;
  expect(firstYieldAt(detector, 75, coolDownMs, slowMs + 1)).toEqual(undefined);
  expect(firstYieldAt(detector, coolDownMs + 75, coolDownMs + 500, slowMs + 1)).toEqual(coolDownMs + 75);
});

test("a leader that was paused itself doesn't yield", () => {
  const detector = new SlowMajorityDetector();
  detector.onTermStarted(-SlowMajorityDetector.warmUpMs);
  expect(detector.shouldYield(75, 0)).toEqual(false);
  // The process was paused: answers that arrived meanwhile are not read yet.
  expect(detector.shouldYield(450, 375)).toEqual(false);
  expect(detector.shouldYield(525, 1)).toEqual(false);
});
