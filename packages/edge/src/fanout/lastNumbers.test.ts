import { test } from "node:test";
import { expect } from "earl";
import { LastNumbers } from "./lastNumbers.js";

test("the highest number of each sender and topic is known, whatever the order", () => {
  const numbers = new LastNumbers();
  numbers.note("a/1", "pen", 4);
  numbers.note("a/1", "pen", 2);
  numbers.note("a/2", "pen", 1);
  const later = new LastNumbers();
  later.note("a/1", "pen", 3);
  later.note("a/1", "desk", 9);
  numbers.add(later);
  expect([numbers.of("a/1", "pen"), numbers.of("a/2", "pen"), numbers.of("a/1", "desk"), numbers.of("b", "b")]).toEqual(
    [4, 1, 9, 0],
  );
});

test("it is bounded: who was silent longest is forgotten first", () => {
  const numbers = new LastNumbers();
  for (let i = 0; i < LastNumbers.most; i += 1) numbers.note("a/1", `s${i}`, 1);
  numbers.note("a/1", "s0", 2);
  numbers.note("a/1", "more", 1);
  expect([numbers.of("a/1", "s0"), numbers.of("a/1", "s1"), numbers.of("a/1", "s2")]).toEqual([2, 0, 1]);
});
