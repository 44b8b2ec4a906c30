import { test } from "node:test";
import { expect } from "earl";
import { SharedDelay } from "./sharedDelay.js";

// Guards against one timer per waiting client at an edge: during an outage the wake-ups cost too much CPU time.
test("tasks that wait during a delay share its timer and its end; later ones start a new delay", async () => {
  const timers: Array<() => void> = [];
  const idle = { stop: () => undefined };
  const clock = { now: () => 0, once: (_ms: number, fire: () => void) => (timers.push(fire), idle), every: () => idle };
  const delay = new SharedDelay(clock, 50);
  const waiting = [delay.next(), delay.next(), delay.next()];
  expect(timers.length).toEqual(1);
  timers[0]!();
  await Promise.all(waiting);
  void delay.next();
  expect(timers.length).toEqual(2);
});
