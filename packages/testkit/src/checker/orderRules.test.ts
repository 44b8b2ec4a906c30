import { test } from "node:test";
import { expect } from "earl";
import type { Seen } from "./history.js";
import { checkOrders } from "./orderRules.js";

const seen = (kind: "planTaken" | "planSuperseded" | "planRefused", version: number, text: string): Seen =>
  ({ kind, at: version, version, text }) as Seen;
const rules = (...history: Seen[]): string[] => checkOrders(history).map(({ rule }) => rule);

test("what was acknowledged may be acknowledged again, and never be refused, also where nobody heard of it", () => {
  const taken = seen("planTaken", 1, "a");
  expect(rules(taken, taken)).toEqual([]);
  expect(rules(taken, seen("planSuperseded", 1, "a"))).toEqual(["acknowledged-refused"]);
  expect(rules(taken, seen("planRefused", 1, "a"))).toEqual(["acknowledged-refused"]);
  expect(rules(seen("planSuperseded", 1, "a"), seen("planSuperseded", 1, "b"), taken)).toEqual([]);
});

test("a version is acknowledged with one content", () => {
  expect(rules(seen("planTaken", 1, "a"), seen("planTaken", 2, "b"), seen("planSuperseded", 1, "c"))).toEqual([]);
  expect(rules(seen("planTaken", 1, "a"), seen("planTaken", 1, "b"))).toEqual(["two-contents"]);
});
