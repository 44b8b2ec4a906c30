import { test } from "node:test";
import { expect } from "earl";
import { checkConfigurationReads } from "./configurationReads.js";
import type { HistoryEvent } from "./history.js";
import { checkEphemeralTopics } from "./ephemeralRules.js";

const tried = (number: number, at = 0): HistoryEvent => {
  return { kind: "tried", at, sender: "pen", topic: "p/t", number, payload: `p${number}` };
};
const refused = (number: number): HistoryEvent => ({
  kind: "refused",
  at: 0,
  sender: "pen",
  topic: "p/t",
  number,
  code: "x",
});
const unknown = (number: number): HistoryEvent => ({ kind: "unsure", at: 0, sender: "pen", topic: "p/t", number });
const connected: HistoryEvent = { kind: "linked", at: 0, subscriber: "desk", node: "vise-1" };
const got = (number: number, payload = `p${number}`): HistoryEvent => {
  return { kind: "received", at: 1, subscriber: "desk", topic: "p/t", sender: "pen", number, payload };
};
const rulesOf = (...seen: HistoryEvent[]): string[] => checkEphemeralTopics(seen).map(({ rule }) => rule);

test("on one connection numbers rise without repetition; a new connection starts over", () => {
  const sent = [tried(1), tried(2), tried(3), connected];
  expect(rulesOf(...sent, got(1), got(3))).toEqual([]);
  expect(rulesOf(...sent, got(2), got(2))).toEqual(["twice"]);
  expect(rulesOf(...sent, got(3), got(1))).toEqual(["sender-order"]);
  expect(rulesOf(...sent, got(3), connected, got(3))).toEqual([]);
});

test("a message that was never sent, was changed, or was refused at every attempt is not delivered", () => {
  expect(rulesOf(connected, got(1))).toEqual(["nobody-sent"]);
  expect(rulesOf(tried(1), connected, got(1, "other"))).toEqual(["changed-bytes"]);
  expect(rulesOf(tried(1), refused(1), connected, got(1))).toEqual(["refused-delivered"]);
});

// Guards against ORDER (review/7): a refusal promises that the message never was and never will be published.
test("a message whose last reply promised that it was not published is not delivered", () => {
  expect(rulesOf(tried(1), unknown(1), tried(1), refused(1), connected, got(1))).toEqual(["promise-broken"]);
  const unrouted: HistoryEvent = {
    kind: "refused",
    at: 0,
    sender: "pen",
    topic: "p/t",
    number: 1,
    code: "unknown-topic",
  };
  expect(rulesOf(tried(1), unknown(1), tried(1), unrouted, connected, got(1))).toEqual([]);
});

test("topics with one order reach all connections in that order", () => {
  const from = (subscriber: string, ...numbers: number[]): HistoryEvent[] => [
    { kind: "linked", at: 0, subscriber, node: "edge" },
    ...numbers.map((n): HistoryEvent => {
      return { kind: "received", at: 1, subscriber, topic: "p/t", sender: `pen-${n}`, number: 1, payload: "" };
    }),
  ];
  const rules = (...events: HistoryEvent[]): string[] =>
    checkEphemeralTopics(events, () => true)
      .map(({ rule }) => rule)
      .filter((rule) => rule === "one-order");
  expect(rules(...from("desk", 1, 2, 3), ...from("shelf", 2, 3))).toEqual([]);
  expect(rules(...from("desk", 1, 2, 3), ...from("shelf", 3, 1))).toEqual(["one-order"]);
  // A connection that comes later may receive something again.
  expect(rules(...from("desk", 1, 2), ...from("desk", 1), ...from("shelf", 1, 2))).toEqual([]);
});

test("a read is at least as new as any version accepted, or read elsewhere, before it started", () => {
  const read = (
    version: number,
    askedAt: number,
    answeredAt = askedAt + 10,
  ): Parameters<typeof checkConfigurationReads>[1][0] => {
    return { node: "lathe-1", askedAt, answeredAt, version };
  };
  const accepted = [
    { version: 3, at: 100 },
    { version: 5, at: 200 },
  ];
  expect(
    checkConfigurationReads(accepted, [read(3, 150), read(3, 199), read(5, 201), read(7, 210), read(7, 230)]),
  ).toEqual([]);
  expect(checkConfigurationReads(accepted, [read(3, 201)]).length).toEqual(1);
  expect(checkConfigurationReads(accepted, [read(7, 210), read(5, 230)]).length).toEqual(1);
});
