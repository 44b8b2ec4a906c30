import { test } from "node:test";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { expect } from "earl";
import { LeaderContact } from "./leaderContact.js";

const electionMs = 300;

function contactAt(start: number): { contact: LeaderContact; clock: { ms: number } } {
  const clock = { ms: start };
  const seam: Pick<Clock, "now"> = { now: () => clock.ms };
  return { contact: new LeaderContact(seam as Clock, electionMs), clock };
}

test("a member is current for 1.3 elections after it last had all that its leader had committed", () => {
  const { contact, clock } = contactAt(1000);
  contact.onMessage();
  expect(contact.isCurrent).toEqual(false);
  contact.onCaughtUp();
  clock.ms += 75;
  contact.tick();
  expect([contact.isCurrent, contact.heardAgo]).toEqual([true, 75]);
  // It hears its leader all the time, and is not current any more.
  for (let i = 0; i < 5; i += 1) {
    clock.ms += 75;
    contact.tick();
    contact.onMessage();
  }
  expect([contact.isCurrent, contact.heardAgo]).toEqual([false, 0]);
});

test("what a process reads just after it stood still makes nobody current", () => {
  const { contact, clock } = contactAt(1000);
  contact.onCaughtUp();
  clock.ms += 20_000;
  // Read before any timer came.
  contact.onMessage();
  contact.onCaughtUp();
  expect(contact.isCurrent).toEqual(false);
  for (const [ms, isCurrent] of [
    [75, false],
    [300, false],
    [75, true],
  ] as const) {
    clock.ms += ms;
    contact.tick();
    contact.onCaughtUp();
    expect([ms, contact.isCurrent]).toEqual([ms, isCurrent]);
  }
});
