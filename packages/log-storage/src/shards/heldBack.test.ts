import { test } from "node:test";
import { expect } from "earl";
import { HeldBack } from "./heldBack.js";

test("what came behind a number that was sent away waits for it, and no longer than a while", () => {
  const held = new HeldBack();
  const isBehind = (number: number, now: number): boolean => held.isBehind("a/1", "pen", number, now);
  held.note("a/1", "pen", 5, true, 0);
  held.note("a/1", "pen", 6, true, 0);
  expect([isBehind(4, 1), isBehind(5, 1), isBehind(6, 1), isBehind(6, HeldBack.holdMs)]).toEqual([
    false,
    false,
    true,
    false,
  ]);
  expect([held.isBehind("a/2", "pen", 6, 1), held.isBehind("a/1", "desk", 6, 1)]).toEqual([false, false]);
  held.note("a/1", "pen", 4, false, 2);
  expect(isBehind(6, 3)).toEqual(true);
  held.note("a/1", "pen", 5, false, 4);
  expect(isBehind(6, 5)).toEqual(false);
});

test("an earlier number sent away takes the place of a later one", () => {
  const held = new HeldBack();
  held.note("a/1", "pen", 7, true, 0);
  held.note("a/1", "pen", 5, true, 100);
  expect([held.isBehind("a/1", "pen", 6, 200), held.isBehind("a/1", "pen", 5, 200)]).toEqual([true, false]);
});
