import { test } from "node:test";
import { expect } from "earl";
import type { Change } from "../feeds/feedFollower.js";
import { ChangeJournal } from "../feeds/changeJournal.js";
import { IncarnationsKey } from "../keys/incarnationsKey.js";
import { Plans, type Plan } from "./configuration.js";
import { PlanReader } from "./configurationReader.js";
import { PlanSchema } from "./configurationSchema.js";
import { PlanView } from "./configurationView.js";

const owe = { keep: 60, order: "sender" as const, fault_budget: { machines: 1 } };
const plan: Plan = {
  mark: 3,
  spaces: [
    {
      name: "clips",
      program: [
        { when: { topicPrefix: "live/" }, owe: { ...owe, publishers: ["desk-*", "boss"] } },
        { when: { topic: "archive" }, owe: { ...owe, keep: 900 } },
      ],
    },
  ],
};

test("the first rule that matches says what is owed; without one nothing is", () => {
  expect(Plans.owed(plan, "clips/live/7")?.publishers).toEqual(["desk-*", "boss"]);
  expect(Plans.owed(plan, "clips/archive")?.keep).toEqual(900);
  expect(Plans.owed(plan, "clips/other")).toEqual(undefined);
  expect(Plans.owed(plan, "other/live/7")).toEqual(undefined);
  const rule = plan.spaces[0]!.program[0]!.owe;
  expect(["desk-4", "boss", "bossy", "guest"].map((session) => Plans.mayPublish(rule, session))).toEqual([
    true,
    true,
    false,
    false,
  ]);
});

test("every problem of a plan is named with its path", () => {
  const faultsOf = (value: unknown): string[] => {
    const read = PlanSchema.read(value);
    return "faults" in read ? read.faults.map((fault) => fault.path) : [];
  };
  expect(faultsOf(plan)).toEqual([]);
  expect(faultsOf({ mark: 1, spaces: [plan.spaces[0], plan.spaces[0]] })).toEqual(["spaces.1.name"]);
  expect(faultsOf({ mark: 0, spaces: [{ name: "a b", program: [] }], more: 1 }).sort()).toEqual([
    "mark",
    "more",
    "spaces.0.name",
    "spaces.0.program",
  ]);
  expect(
    faultsOf({
      mark: 1,
      spaces: [{ name: "a", program: [{ when: { colour: 1 }, owe: { ...owe, order: "any", keep: -1 } }] }],
    }).sort(),
  ).toEqual(["spaces.0.program.0.owe.keep", "spaces.0.program.0.owe.order", "spaces.0.program.0.when.colour"]);
  for (const value of [null, 7, "plan", [], {}]) expect(faultsOf(value).length > 0).toEqual(true);
});

test("a plan that this node cannot read leaves the old one in force and is said; an older one changes nothing", () => {
  const journal = new ChangeJournal<Change>();
  const view = new PlanView(journal);
  const put = (value: { mark: number; spaces: unknown[]; newer?: boolean }, revision: number): void => {
    const incarnations = IncarnationsKey.write({ mark: value.mark, spaces: { "clips/": 3 } });
    journal.append({ key: IncarnationsKey.name, value: incarnations, revision });
    journal.append({ key: "plan", value: Buffer.from(JSON.stringify(value)), revision });
  };
  put(plan, 1);
  put({ mark: 9, spaces: [], newer: true }, 2);
  expect([view.mark, view.fault.startsWith("cannot read the plan: newer")]).toEqual([3, true]);
  put({ mark: 2, spaces: [] }, 3);
  expect(view.mark).toEqual(3);
  put({ mark: 10, spaces: [] }, 4);
  expect([view.mark, view.fault]).toEqual([10, ""]);
  expect(view.route("clips/live/7")).toEqual(undefined);
  put({ ...plan, mark: 11 }, 5);
  expect(view.route("clips/live/7")).toEqual({ stream: "6:clips/live/7", space: "clips/", spaceIncarnation: 3 });
});

test("a configuration of a lower version than the one in force is counted as a violation", () => {
  const journal = new ChangeJournal<Change>();
  const violated: string[] = [];
  const view = new PlanView(journal, { violated: (name, context) => void violated.push(`${name} ${context["told"]}`) });
  for (const [mark, revision] of [
    [3, 7],
    [2, 8],
    [4, 9],
  ] as const) {
    journal.append({ key: IncarnationsKey.name, value: IncarnationsKey.write({ mark, spaces: {} }), revision });
    journal.append({ key: "plan", value: Buffer.from(JSON.stringify({ mark, spaces: [] })), revision });
  }
  expect([violated, view.mark, view.revision]).toEqual([["configurationVersion 2"], 4, 9]);
});

const space = (name: string, more: object = {}, rule: object = {}): Plan["spaces"][number] =>
  ({ name, program: [{ when: {}, owe: { ...owe, ...rule } }], ...more }) as Plan["spaces"][number];

test("a space owns what starts with its prefix, and the longest prefix wins", () => {
  const nested: Plan = {
    mark: 1,
    spaces: [space("all", { prefix: "a" }), space("a"), space("deep", { prefix: "a/b." })],
  };
  const winner = (topic: string): string | undefined => Plans.spaceOf(nested, topic)?.name;
  expect(["a", "ax", "a/", "a/b", "a/b.", "a/b.c", "b"].map(winner)).toEqual([
    "all",
    "all",
    "a",
    "a",
    "deep",
    "deep",
    undefined,
  ]);
  const rule: Plan = { mark: 1, spaces: [space("x", { prefix: "kafi.", program: [{ when: { topic: "t" }, owe }] })] };
  expect([Plans.owed(rule, "kafi.t") === undefined, Plans.owed(rule, "kafi.tt")]).toEqual([false, undefined]);
});

test("a topic is 1 to 200 printable bytes without blanks", () => {
  expect(["a", "/", "~a!", "x".repeat(200)].filter((topic) => !Plans.isTopic(topic))).toEqual([]);
  const none: unknown[] = ["", "a b", "a\n", "\u007f", "é", "x".repeat(201), 7, undefined];
  expect(none.filter((topic) => Plans.isTopic(topic))).toEqual([]);
});

test("what a plan may say: prefixes, three orders, nothing kept, limits and deadlines; and what it may not", () => {
  const faultsOf = (...spaces: object[]): string[] => {
    const read = PlanSchema.read({ mark: 1, spaces });
    return "faults" in read ? read.faults.map((fault) => fault.path) : [];
  };
  const whole = PlanSchema.read({
    mark: 12,
    spaces: [space("A.b_C-9", { prefix: "~", deadlineMs: 1500 }, { keep: 0, order: "one" })],
    limits: { subscriptions: 200, payloadBytes: 4096 },
  });
  expect("plan" in whole && whole.plan.spaces[0]!.program[0]!.owe.order).toEqual("space");
  expect(faultsOf(space("a"), space("b", { prefix: "a/" }))).toEqual(["spaces.1.prefix"]);
  expect(faultsOf(space("a", { prefix: "" }))).toEqual([]);
  expect(faultsOf(space("a", { prefix: "" }), space("b", { prefix: "" }))).toEqual(["spaces.1.prefix"]);
  for (const prefix of ["a b", "ä", "x".repeat(201)])
    expect(faultsOf(space("a", { prefix }))).toEqual(["spaces.0.prefix"]);
  expect(faultsOf(space("a", { deadlineMs: 0 }))).toEqual(["spaces.0.deadlineMs"]);
  const rules = (...owes: object[]): object => ({
    program: owes.map((one) => ({ when: {}, owe: { ...owe, ...one } })),
  });
  expect(faultsOf({ name: "a", ...rules({ order: "sender" }, { order: "topic", keep: 0 }) })).toEqual([]);
  expect(faultsOf({ name: "a", ...rules({ order: "topic" }, { order: "space" }) })).toEqual([
    "spaces.0.program.1.owe.order",
  ]);
  expect(faultsOf({ name: "a", ...rules({ order: "space" }, { order: "one", keep: 0 }) })).toEqual([
    "spaces.0.program.1.owe.keep",
  ]);
});

test("the reader of accepted plans takes what the whole check takes, and distrusts every shape", () => {
  const full = {
    mark: 3,
    spaces: [space("a", { prefix: "a.", deadlineMs: 9 }, { order: "one", publishers: ["x"], maxBytes: 1 })],
    limits: { subscriptions: 1 },
  };
  const text = JSON.stringify(full);
  expect(PlanReader.parse(text)).toEqual(PlanSchema.parse(text));
  const pathOf = (value: unknown): string => {
    const read = PlanReader.read(value);
    return "faults" in read ? read.faults[0]!.path : "none";
  };
  const broken: Array<[string, (plan: typeof full) => unknown]> = [
    ["mark", (plan) => ({ ...plan, mark: 1.5 })],
    ["mark", () => ({ spaces: [] })],
    ["spaces", (plan) => ({ ...plan, spaces: {} })],
    ["spaces.0", (plan) => ({ ...plan, spaces: [null] })],
    ["newer", (plan) => ({ ...plan, newer: 1 })],
    ["toString", (plan) => ({ ...plan, toString: 1 })],
    ["limits.subscriptions", (plan) => ({ ...plan, limits: { subscriptions: "1" } })],
    ["spaces.0.prefix", (plan) => ({ ...plan, spaces: [{ ...plan.spaces[0], prefix: 7 }] })],
    ["spaces.0.program.0.owe.order", (plan) => ({ ...plan, spaces: [space("a", {}, { order: "any" })] })],
    ["spaces.0.program.0.owe.publishers.0", (plan) => ({ ...plan, spaces: [space("a", {}, { publishers: [1] })] })],
  ];
  for (const [path, change] of broken) expect(pathOf(change(structuredClone(full)))).toEqual(path);
  for (const value of [null, 7, "plan", [], undefined]) expect(pathOf(value)).toEqual("");
  expect("faults" in PlanReader.parse("{")).toEqual(true);
});

test("the whole check takes no list for an object: no node could read what was accepted", () => {
  const rules = (rule: object): object => ({ mark: 1, spaces: [{ name: "a", program: [rule] }] });
  const listed: Array<[string, object]> = [
    ["limits", { mark: 1, spaces: [], limits: [] }],
    ["spaces.0.program.0.when", rules({ when: [], owe })],
    ["spaces.0.program.0.owe.fault_budget", rules({ when: {}, owe: { ...owe, fault_budget: [] } })],
  ];
  for (const [path, value] of listed) {
    const read = PlanSchema.read(value);
    expect("faults" in read ? read.faults.map((fault) => fault.path) : []).toEqual([path]);
  }
});
