import { test } from "node:test";
import { expect } from "earl";
import { AwaitedRetries } from "./awaitedRetries.js";

test("later numbers wait for the retry of an unavailable one, but no longer than the retry window", () => {
  const awaited = new AwaitedRetries();
  const isBehindAwaitedRetry = (number: number, now: number): boolean =>
    awaited.isBehindAwaitedRetry("a/1", "pen", number, now);
  awaited.recordOutcome("a/1", "pen", 5, true, 0);
  awaited.recordOutcome("a/1", "pen", 6, true, 0);
  expect([
    isBehindAwaitedRetry(4, 1),
    isBehindAwaitedRetry(5, 1),
    isBehindAwaitedRetry(6, 1),
    isBehindAwaitedRetry(6, AwaitedRetries.retryWindowMs),
  ]).toEqual([false, false, true, false]);
  expect([awaited.isBehindAwaitedRetry("a/2", "pen", 6, 1), awaited.isBehindAwaitedRetry("a/1", "desk", 6, 1)]).toEqual(
    [false, false],
  );
  awaited.recordOutcome("a/1", "pen", 4, false, 2);
  expect(isBehindAwaitedRetry(6, 3)).toEqual(true);
  awaited.recordOutcome("a/1", "pen", 5, false, 4);
  expect(isBehindAwaitedRetry(6, 5)).toEqual(false);
});

test("an earlier unavailable number replaces a later one", () => {
  const awaited = new AwaitedRetries();
  awaited.recordOutcome("a/1", "pen", 7, true, 0);
  awaited.recordOutcome("a/1", "pen", 5, true, 100);
  expect([
    awaited.isBehindAwaitedRetry("a/1", "pen", 6, 200),
    awaited.isBehindAwaitedRetry("a/1", "pen", 5, 200),
  ]).toEqual([true, false]);
});
