import { test } from "node:test";
import { expect } from "earl";
import { Checker } from "./checker.js";
import type { HistoryEvent } from "./history.js";
import { Lateness } from "./lateness.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

const topic = "notices/t0";
const configurationText = (version: number, spaces: string[]): string =>
  documentTextOf({
    version,
    spaces: spaces.map((name) => ({
      name,
      program: [{ when: {}, contract: { keep: 60, order: "one", fault_budget: {} } }],
    })),
  });
const configuration = (at: number, version: number, spaces = ["notices"]): HistoryEvent => ({
  kind: "planAccepted",
  at,
  version,
  text: configurationText(version, spaces),
});
const subscribes = (subscriber: string, at = 1): HistoryEvent[] => [
  { kind: "asked", at, subscriber, topic },
  { kind: "linked", at, subscriber, node: "n" },
  { kind: "confirmed", at, subscriber, topic },
];
const tried = (at: number, number: number, sender = "s"): HistoryEvent => ({
  kind: "tried",
  at,
  sender,
  topic,
  number,
  payload: `p${number}`,
});
const accepted = (at: number, number: number, sender = "s"): HistoryEvent => ({
  kind: "accepted",
  at,
  sender,
  topic,
  number,
  place: "x",
});
const refused = (at: number, number: number, code = "not-a-publisher"): HistoryEvent => ({
  kind: "refused",
  at,
  sender: "s",
  topic,
  number,
  code,
});
const received = (
  at: number,
  number: number,
  subscriber = "a",
  sender = "s",
  payload = `p${number}`,
): HistoryEvent => ({
  kind: "received",
  at,
  subscriber,
  topic,
  sender,
  number,
  payload,
});
const expired = (at: number): HistoryEvent => ({
  kind: "expired",
  at,
  subscriber: "a",
  topic,
  reason: "older messages were trimmed",
});
const rulesOf = (...seen: Array<HistoryEvent | HistoryEvent[]>): string[] => [
  ...new Set(Checker.check(seen.flat(), 200_000).map((breach) => breach.rule)),
];

test("a history without faults has no breach", () => {
  expect(
    rulesOf(
      configuration(0, 1),
      subscribes("a"),
      subscribes("b"),
      tried(10, 1),
      accepted(12, 1),
      received(13, 1),
      received(14, 1, "b"),
      tried(20, 2),
      received(21, 2),
      received(21, 2, "b"),
      accepted(22, 2),
      { kind: "planRead", at: 100, text: configurationText(1, ["notices"]) },
    ),
  ).toEqual([]);
});

const violatingHistories: Array<[rule: string, ...seen: Array<HistoryEvent | HistoryEvent[]>]> = [
  ["missing", subscribes("a"), tried(10, 1), accepted(12, 1)],
  ["skipped", subscribes("a"), tried(10, 1), accepted(12, 1), tried(20, 2), accepted(22, 2), received(23, 2)],
  ["twice", subscribes("a"), tried(10, 1), accepted(12, 1), received(13, 1), received(14, 1)],
  [
    "sender-order",
    subscribes("a"),
    tried(10, 1),
    accepted(12, 1),
    tried(20, 2),
    accepted(22, 2),
    received(23, 2),
    received(24, 1),
  ],
  [
    "one-order",
    configuration(0, 1),
    subscribes("a"),
    subscribes("b"),
    tried(10, 1),
    tried(10, 1, "z"),
    accepted(12, 1),
    accepted(12, 1, "z"),
    received(13, 1),
    received(14, 1, "a", "z"),
    received(13, 1, "b", "z"),
    received(14, 1, "b"),
  ],
  ["nobody-sent", subscribes("a"), received(13, 1)],
  ["changed-bytes", subscribes("a"), tried(10, 1), accepted(12, 1), received(13, 1, "a", "s", "other")],
  ["not-asked", tried(10, 1), accepted(12, 1), received(13, 1)],
  ["refused-delivered", subscribes("a"), tried(10, 1), refused(12, 1), received(13, 1)],
  ["expired-early", subscribes("a"), tried(10, 1), accepted(12, 1), expired(30_000)],
  ["plan-late", configuration(0, 1), tried(4000, 1), refused(4010, 1, "unknown-topic")],
  [
    "removed-space",
    configuration(0, 1),
    subscribes("a"),
    configuration(100, 2, ["other"]),
    tried(3200, 1),
    received(3220, 1),
  ],
  [
    "plan-read-back",
    configuration(0, 1),
    configuration(10, 2, ["other"]),
    { kind: "planRead", at: 100, text: configurationText(1, ["notices"]) },
  ],
  ["plan-lost", configuration(0, 1), { kind: "planLost", at: 100, why: "404" }],
];

const onTopic = (other: string, seen: HistoryEvent[]): HistoryEvent[] =>
  seen.map((one) => ("topic" in one ? { ...one, topic: other } : one));
const contractEvents = (at: number, version: number, contract: object): HistoryEvent[] => {
  const rule = { when: {}, contract: { keep: 60, order: "sender", fault_budget: {}, ...contract } };
  const text = documentTextOf({ version, spaces: [{ name: "notices", program: [rule] }] });
  return [
    { kind: "planTried", at, version, text },
    { kind: "planAccepted", at, version, text },
  ];
};
const faulted = (at: number): HistoryEvent => ({
  kind: "faulted",
  at,
  subscriber: "b",
  topic: "notices/t9",
  code: "unavailable",
});
/** Two topics of one space; subscriber "b" receives their messages in the opposite order to subscriber "a". */
const crossedOrders = (between: HistoryEvent[]): HistoryEvent[] => [
  configuration(0, 1),
  ...["a", "b"].flatMap((name) => [...subscribes(name), ...onTopic("notices/t9", subscribes(name))]),
  ...between,
  tried(10, 1),
  ...onTopic("notices/t9", [tried(10, 1, "z"), accepted(12, 1, "z")]),
  accepted(12, 1),
  received(13, 1),
  ...onTopic("notices/t9", [received(14, 1, "a", "z")]),
];

violatingHistories.push(
  ["one-order", crossedOrders([]), onTopic("notices/t9", [received(13, 1, "b", "z")]), received(14, 1, "b")],
  ["slipped-back", { kind: "marked", at: 1, node: "n", version: 4 }, { kind: "marked", at: 2, node: "n", version: 3 }],
  [
    "plan-late",
    contractEvents(0, 1, {}),
    contractEvents(10, 2, { publishers: ["t"] }),
    subscribes("a"),
    tried(3100, 1),
    accepted(3110, 1),
    received(3120, 1),
  ],
  [
    "plan-late",
    contractEvents(0, 1, { publishers: ["t"] }),
    contractEvents(10, 2, {}),
    tried(3100, 1),
    refused(3110, 1),
  ],
  ["plan-late", contractEvents(0, 1, {}), contractEvents(10, 2, { maxBytes: 1 }), tried(3100, 1), accepted(3110, 1)],
  [
    "expired-early",
    contractEvents(0, 1, { keep: 90 }),
    subscribes("a", 70_000),
    tried(70_010, 1),
    accepted(70_012, 1),
    expired(150_000),
  ],
);

for (const [rule, ...seen] of violatingHistories) {
  test(`a history that breaks the rule "${rule}" is reported under that rule only`, () => {
    expect(rulesOf(...seen)).toEqual([rule]);
  });
}

test("a topic that was unavailable on a connection catches up outside the order; a restart may forget versions", () => {
  const caughtUp = crossedOrders([
    faulted(5),
    ...onTopic("notices/t9", [{ kind: "confirmed", at: 20, subscriber: "b", topic }]),
  ]);
  expect(rulesOf(caughtUp, received(14, 1, "b"), onTopic("notices/t9", [received(21, 1, "b", "z")]))).toEqual([]);
  const versions = [4, 0, 4, 5].map((version, at): HistoryEvent => ({ kind: "marked", at, node: "n", version }));
  expect(rulesOf(versions)).toEqual([]);
});

test("a configuration whose put got no definite reply may be read back; a refused one may not", () => {
  const unknown = { kind: "planTried", at: 5, version: 2, text: configurationText(2, ["other"]) } as const;
  const read: HistoryEvent = { kind: "planRead", at: 9, text: configurationText(2, ["other"]) };
  expect(rulesOf(configuration(0, 1), unknown, read)).toEqual([]);
  expect(rulesOf(configuration(0, 1), unknown, { ...unknown, kind: "planRefused" }, read)).toEqual(["plan-read-back"]);
});

test("a delivery is late if a confirmed subscriber waited over 2 s, unless it closed the connection itself", () => {
  const closed = (isOwn: boolean): HistoryEvent => ({ kind: "closed", at: 30, subscriber: "a", isOwn });
  const reconnected: HistoryEvent[] = [{ kind: "linked", at: 2900, subscriber: "a", node: "m" }];
  const history = (isOwn: boolean): HistoryEvent[] => [
    ...subscribes("a"),
    tried(10, 1),
    closed(isOwn),
    ...reconnected,
    received(3010, 1),
  ];
  expect(Lateness.deliveries(history(false)).map((delivery) => delivery.delay)).toEqual([3000]);
  expect(Lateness.deliveries(history(true))).toEqual([]);
  const deliveries = Lateness.deliveries(history(false));
  const kill = { what: "kill", from: 5, to: 2500 };
  expect([...Lateness.byCause(deliveries, [kill])]).toEqual([["kill", { count: 1, worst: 3000 }]]);
  expect([...Lateness.byCause(deliveries, [{ ...kill, to: 9 }])]).toEqual([["nothing", { count: 1, worst: 3000 }]]);
});

test(
  "no breach: an old position that expired, a refused attempt before an accepted one, " +
    "a message to a space removed less than 3 s ago",
  () => {
    expect(rulesOf(subscribes("a"), tried(10, 1), accepted(12, 1), expired(100_000))).toEqual([]);
    expect(
      rulesOf(
        subscribes("a"),
        tried(10, 1),
        refused(12, 1, "unavailable"),
        tried(20, 1),
        accepted(22, 1),
        received(23, 1),
      ),
    ).toEqual([]);
    expect(
      rulesOf(
        configuration(0, 1),
        subscribes("a"),
        configuration(100, 2, ["other"]),
        tried(1500, 1),
        accepted(1510, 1),
        received(1520, 1),
      ),
    ).toEqual([]);
  },
);
