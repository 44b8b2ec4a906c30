import { test } from "node:test";
import { expect } from "earl";
import { Checker } from "./checker.js";
import type { Seen } from "./history.js";
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
const configuration = (at: number, version: number, spaces = ["notices"]): Seen => ({
  kind: "planAccepted",
  at,
  version,
  text: configurationText(version, spaces),
});
const joins = (subscriber: string, at = 1): Seen[] => [
  { kind: "asked", at, subscriber, topic },
  { kind: "linked", at, subscriber, node: "n" },
  { kind: "confirmed", at, subscriber, topic },
];
const tried = (at: number, number: number, sender = "s"): Seen => ({
  kind: "tried",
  at,
  sender,
  topic,
  number,
  payload: `p${number}`,
});
const accepted = (at: number, number: number, sender = "s"): Seen => ({
  kind: "accepted",
  at,
  sender,
  topic,
  number,
  place: "x",
});
const refused = (at: number, number: number, code = "not-a-publisher"): Seen => ({
  kind: "refused",
  at,
  sender: "s",
  topic,
  number,
  code,
});
const got = (at: number, number: number, subscriber = "a", sender = "s", payload = `p${number}`): Seen => ({
  kind: "received",
  at,
  subscriber,
  topic,
  sender,
  number,
  payload,
});
const expired = (at: number): Seen => ({
  kind: "expired",
  at,
  subscriber: "a",
  topic,
  reason: "older messages were trimmed",
});
const rulesOf = (...seen: Array<Seen | Seen[]>): string[] => [
  ...new Set(Checker.check(seen.flat(), 200_000).map((breach) => breach.rule)),
];

test("a history in which all went well has no breach", () => {
  expect(
    rulesOf(
      configuration(0, 1),
      joins("a"),
      joins("b"),
      tried(10, 1),
      accepted(12, 1),
      got(13, 1),
      got(14, 1, "b"),
      tried(20, 2),
      got(21, 2),
      got(21, 2, "b"),
      accepted(22, 2),
      { kind: "planRead", at: 100, text: configurationText(1, ["notices"]) },
    ),
  ).toEqual([]);
});

const broken: Array<[rule: string, ...seen: Array<Seen | Seen[]>]> = [
  ["missing", joins("a"), tried(10, 1), accepted(12, 1)],
  ["skipped", joins("a"), tried(10, 1), accepted(12, 1), tried(20, 2), accepted(22, 2), got(23, 2)],
  ["twice", joins("a"), tried(10, 1), accepted(12, 1), got(13, 1), got(14, 1)],
  ["sender-order", joins("a"), tried(10, 1), accepted(12, 1), tried(20, 2), accepted(22, 2), got(23, 2), got(24, 1)],
  [
    "one-order",
    configuration(0, 1),
    joins("a"),
    joins("b"),
    tried(10, 1),
    tried(10, 1, "z"),
    accepted(12, 1),
    accepted(12, 1, "z"),
    got(13, 1),
    got(14, 1, "a", "z"),
    got(13, 1, "b", "z"),
    got(14, 1, "b"),
  ],
  ["nobody-sent", joins("a"), got(13, 1)],
  ["changed-bytes", joins("a"), tried(10, 1), accepted(12, 1), got(13, 1, "a", "s", "other")],
  ["not-asked", tried(10, 1), accepted(12, 1), got(13, 1)],
  ["refused-delivered", joins("a"), tried(10, 1), refused(12, 1), got(13, 1)],
  ["expired-early", joins("a"), tried(10, 1), accepted(12, 1), expired(30_000)],
  ["plan-late", configuration(0, 1), tried(4000, 1), refused(4010, 1, "unknown-topic")],
  ["removed-space", configuration(0, 1), joins("a"), configuration(100, 2, ["other"]), tried(3200, 1), got(3220, 1)],
  [
    "plan-read-back",
    configuration(0, 1),
    configuration(10, 2, ["other"]),
    { kind: "planRead", at: 100, text: configurationText(1, ["notices"]) },
  ],
  ["plan-lost", configuration(0, 1), { kind: "planLost", at: 100, why: "404" }],
];

const of = (other: string, seen: Seen[]): Seen[] =>
  seen.map((one) => ("topic" in one ? { ...one, topic: other } : one));
const contractEvents = (at: number, version: number, contract: object): Seen[] => {
  const rule = { when: {}, contract: { keep: 60, order: "sender", fault_budget: {}, ...contract } };
  const text = documentTextOf({ version, spaces: [{ name: "notices", program: [rule] }] });
  return [
    { kind: "planTried", at, version, text },
    { kind: "planAccepted", at, version, text },
  ];
};
const faulted = (at: number): Seen => ({
  kind: "faulted",
  at,
  subscriber: "b",
  topic: "notices/t9",
  code: "unavailable",
});
/** Two topics of one space; "b" sees their messages the other way round than "a". */
const crossed = (between: Seen[]): Seen[] => [
  configuration(0, 1),
  ...["a", "b"].flatMap((name) => [...joins(name), ...of("notices/t9", joins(name))]),
  ...between,
  tried(10, 1),
  ...of("notices/t9", [tried(10, 1, "z"), accepted(12, 1, "z")]),
  accepted(12, 1),
  got(13, 1),
  ...of("notices/t9", [got(14, 1, "a", "z")]),
];

broken.push(
  ["one-order", crossed([]), of("notices/t9", [got(13, 1, "b", "z")]), got(14, 1, "b")],
  ["slipped-back", { kind: "marked", at: 1, node: "n", version: 4 }, { kind: "marked", at: 2, node: "n", version: 3 }],
  [
    "plan-late",
    contractEvents(0, 1, {}),
    contractEvents(10, 2, { publishers: ["t"] }),
    joins("a"),
    tried(3100, 1),
    accepted(3110, 1),
    got(3120, 1),
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
    joins("a", 70_000),
    tried(70_010, 1),
    accepted(70_012, 1),
    expired(150_000),
  ],
);

for (const [rule, ...seen] of broken) {
  test(`a history that breaks "${rule}" is caught for it`, () => {
    expect(rulesOf(...seen)).toEqual([rule]);
  });
}

test("a topic that could not be had on a connection catches up outside the order; a restart forgets versions", () => {
  const catching = crossed([faulted(5), ...of("notices/t9", [{ kind: "confirmed", at: 20, subscriber: "b", topic }])]);
  expect(rulesOf(catching, got(14, 1, "b"), of("notices/t9", [got(21, 1, "b", "z")]))).toEqual([]);
  const versions = [4, 0, 4, 5].map((version, at): Seen => ({ kind: "marked", at, node: "n", version }));
  expect(rulesOf(versions)).toEqual([]);
});

test("a configuration whose put got no final reply may be the one read back; one that was refused may not", () => {
  const unknown = { kind: "planTried", at: 5, version: 2, text: configurationText(2, ["other"]) } as const;
  const read: Seen = { kind: "planRead", at: 9, text: configurationText(2, ["other"]) };
  expect(rulesOf(configuration(0, 1), unknown, read)).toEqual([]);
  expect(rulesOf(configuration(0, 1), unknown, { ...unknown, kind: "planRefused" }, read)).toEqual(["plan-read-back"]);
});

test("late is what a confirmed subscriber waited for longer than 2 s, unless it dropped off of its own accord", () => {
  const cut = (isOwn: boolean): Seen => ({ kind: "closed", at: 30, subscriber: "a", isOwn });
  const again: Seen[] = [{ kind: "linked", at: 2900, subscriber: "a", node: "m" }];
  const history = (isOwn: boolean): Seen[] => [...joins("a"), tried(10, 1), cut(isOwn), ...again, got(3010, 1)];
  expect(Lateness.deliveries(history(false)).map((delivery) => delivery.delay)).toEqual([3000]);
  expect(Lateness.deliveries(history(true))).toEqual([]);
  const deliveries = Lateness.deliveries(history(false));
  const kill = { what: "kill", from: 5, to: 2500 };
  expect([...Lateness.byCause(deliveries, [kill])]).toEqual([["kill", { count: 1, worst: 3000 }]]);
  expect([...Lateness.byCause(deliveries, [{ ...kill, to: 9 }])]).toEqual([["nothing", { count: 1, worst: 3000 }]]);
});

test(
  "what the rules allow is no breach: an old place expired, a refused try before an accepted " +
    "one, a topic made again",
  () => {
    expect(rulesOf(joins("a"), tried(10, 1), accepted(12, 1), expired(100_000))).toEqual([]);
    expect(
      rulesOf(joins("a"), tried(10, 1), refused(12, 1, "unavailable"), tried(20, 1), accepted(22, 1), got(23, 1)),
    ).toEqual([]);
    expect(
      rulesOf(
        configuration(0, 1),
        joins("a"),
        configuration(100, 2, ["other"]),
        tried(1500, 1),
        accepted(1510, 1),
        got(1520, 1),
      ),
    ).toEqual([]);
  },
);
