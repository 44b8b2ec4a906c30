import { test } from "node:test";
import { expect } from "earl";
import { TokenBucket } from "./tokenBucket.js";

test("allows a burst, then a fixed rate; unused tokens accumulate up to one burst", () => {
  let now = 0;
  const handle = { stop: () => undefined };
  const clock = { now: () => now, once: () => handle, every: () => handle };
  const bucket = new TokenBucket(clock, 3, 2);
  const takeAll = (): number => {
    let taken = 0;
    while (bucket.take()) taken += 1;
    return taken;
  };
  expect(takeAll()).toEqual(3);
  now += 499;
  expect(takeAll()).toEqual(0);
  now += 1;
  expect(takeAll()).toEqual(1);
  now += 60_000;
  expect(takeAll()).toEqual(3);
});
