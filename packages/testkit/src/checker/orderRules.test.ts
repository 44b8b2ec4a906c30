import { test } from "node:test";
import { expect } from "earl";
import type { HistoryEvent } from "./history.js";
import { checkAcknowledgements } from "./orderRules.js";

const seen = (kind: "planTaken" | "planSuperseded" | "planRefused", version: number, text: string): HistoryEvent =>
  ({ kind, at: version, version, text }) as HistoryEvent;
const rules = (...history: HistoryEvent[]): string[] => checkAcknowledgements(history).map(({ rule }) => rule);

test("an acknowledged change may be acknowledged again but never refused, even if the acknowledgement was lost", () => {
  const acknowledged = seen("planTaken", 1, "a");
  expect(rules(acknowledged, acknowledged)).toEqual([]);
  expect(rules(acknowledged, seen("planSuperseded", 1, "a"))).toEqual(["acknowledged-refused"]);
  expect(rules(acknowledged, seen("planRefused", 1, "a"))).toEqual(["acknowledged-refused"]);
  expect(rules(seen("planSuperseded", 1, "a"), seen("planSuperseded", 1, "b"), acknowledged)).toEqual([]);
});

test("a version is acknowledged with only one content", () => {
  expect(rules(seen("planTaken", 1, "a"), seen("planTaken", 2, "b"), seen("planSuperseded", 1, "c"))).toEqual([]);
  expect(rules(seen("planTaken", 1, "a"), seen("planTaken", 1, "b"))).toEqual(["two-contents"]);
});
