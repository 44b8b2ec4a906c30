import { test } from "node:test";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { expect } from "earl";
import { LeaderContact } from "./leaderContact.js";

const electionMs = 300;

function contactAt(start: number): { contact: LeaderContact; clock: { ms: number } } {
  const clock = { ms: start };
  const clockStub: Pick<Clock, "now"> = { now: () => clock.ms };
  return { contact: new LeaderContact(clockStub as Clock, electionMs), clock };
}

test("a member is current for 1.3 election timeouts after it last had everything its leader had committed", () => {
  const { contact, clock } = contactAt(1000);
  contact.onMessage();
  expect(contact.isCurrent).toEqual(false);
  contact.onCaughtUp();
  clock.ms += 75;
  contact.tick();
  expect([contact.isCurrent, contact.sinceHeardMs]).toEqual([true, 75]);
  // It still receives messages from its leader, but is no longer current.
  for (let i = 0; i < 5; i += 1) {
    clock.ms += 75;
    contact.tick();
    contact.onMessage();
  }
  expect([contact.isCurrent, contact.sinceHeardMs]).toEqual([false, 0]);
});

test("messages that a process reads just after a pause don't make it current", () => {
  const { contact, clock } = contactAt(1000);
  contact.onCaughtUp();
  clock.ms += 20_000;
  // These messages are read before any timer runs.
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
