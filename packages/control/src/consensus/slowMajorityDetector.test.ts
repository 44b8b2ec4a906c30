import { test } from "node:test";
import { expect } from "earl";
import { SlowMajorityDetector } from "./slowMajorityDetector.js";

/** Looks every 75 ms; when it was said to be slow, if it was. */
function slowAt(detector: SlowMajorityDetector, from: number, to: number, answerMs: number): number | undefined {
  for (let now = from; now <= to; now += 75) if (detector.isSlow(now, answerMs)) return now;
  return undefined;
}

test("slowness counts once it has lasted, and not again for a while", () => {
  const detector = new SlowMajorityDetector();
  detector.begin(0);
  expect(slowAt(detector, 75, 600, SlowMajorityDetector.slowMs)).toEqual(undefined);
  expect(slowAt(detector, 675, 2000, SlowMajorityDetector.slowMs + 1)).toEqual(975);
  expect(slowAt(detector, 1050, 10_000, SlowMajorityDetector.slowMs + 1)).toEqual(undefined);
});

test("nobody gives way soon after another has", () => {
  const detector = new SlowMajorityDetector();
  detector.begin(0);
  detector.onOtherYielded(0);
  const { coolDownMs, slowMs } = SlowMajorityDetector;
  expect(slowAt(detector, 75, coolDownMs, slowMs + 1)).toEqual(undefined);
  expect(slowAt(detector, coolDownMs + 75, coolDownMs + 500, slowMs + 1)).toEqual(coolDownMs + 75);
});

test("who slept itself says nothing of the others' slowness", () => {
  const detector = new SlowMajorityDetector();
  detector.begin(0);
  expect(detector.isSlow(75, 0)).toEqual(false);
  // Frozen for a while: the answers that came meanwhile are not read yet.
  expect(detector.isSlow(450, 375)).toEqual(false);
  expect(detector.isSlow(525, 1)).toEqual(false);
});
