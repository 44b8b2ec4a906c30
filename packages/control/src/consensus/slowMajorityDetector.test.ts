import { test } from "node:test";
import { expect } from "earl";
import { SlowMajorityWatch } from "./slowMajorityDetector.js";

/** Looks every 75 ms; when it was said to be slow, if it was. */
function slowAt(watch: SlowMajorityWatch, from: number, to: number, answerMs: number): number | undefined {
  for (let now = from; now <= to; now += 75) if (watch.isSlow(now, answerMs)) return now;
  return undefined;
}

test("slowness counts once it has lasted, and not again for a while", () => {
  const watch = new SlowMajorityWatch();
  watch.begin(0);
  expect(slowAt(watch, 75, 600, SlowMajorityWatch.slowMs)).toEqual(undefined);
  expect(slowAt(watch, 675, 2000, SlowMajorityWatch.slowMs + 1)).toEqual(975);
  expect(slowAt(watch, 1050, 10_000, SlowMajorityWatch.slowMs + 1)).toEqual(undefined);
});

test("nobody gives way soon after another has", () => {
  const watch = new SlowMajorityWatch();
  watch.begin(0);
  watch.otherGaveWay(0);
  const { restMs, slowMs } = SlowMajorityWatch;
  expect(slowAt(watch, 75, restMs, slowMs + 1)).toEqual(undefined);
  expect(slowAt(watch, restMs + 75, restMs + 500, slowMs + 1)).toEqual(restMs + 75);
});

test("who slept itself says nothing of the others' slowness", () => {
  const watch = new SlowMajorityWatch();
  watch.begin(0);
  expect(watch.isSlow(75, 0)).toEqual(false);
  // Frozen for a while: the answers that came meanwhile are not read yet.
  expect(watch.isSlow(450, 375)).toEqual(false);
  expect(watch.isSlow(525, 1)).toEqual(false);
});
