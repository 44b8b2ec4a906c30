import { test } from "node:test";
import { expect } from "earl";
import type { Change } from "../feeds/feedFollower.js";
import { ChangeJournal } from "../feeds/changeJournal.js";
import { IncarnationsKey } from "../keys/incarnationsKey.js";
import { Configurations, type Configuration } from "./configuration.js";
import { ConfigurationReader } from "./configurationReader.js";
import { ConfigurationSchema } from "./configurationSchema.js";
import { documentOf, documentTextOf } from "./documentBuilder.js";
import { ConfigurationView } from "./configurationView.js";

const contract = { keep: 60, order: "sender" as const, fault_budget: { machines: 1 } };
const configuration: Configuration = {
  version: 3,
  spaces: [
    {
      name: "clips",
      program: [
        { when: { topicPrefix: "live/" }, contract: { ...contract, publishers: ["desk-*", "boss"] } },
        { when: { topic: "archive" }, contract: { ...contract, keep: 900 } },
      ],
    },
  ],
};

test("the first matching rule gives the contract; without one there is none", () => {
  expect(Configurations.contractFor(configuration, "clips/live/7")?.publishers).toEqual(["desk-*", "boss"]);
  expect(Configurations.contractFor(configuration, "clips/archive")?.keep).toEqual(900);
  expect(Configurations.contractFor(configuration, "clips/other")).toEqual(undefined);
  expect(Configurations.contractFor(configuration, "other/live/7")).toEqual(undefined);
  const rule = configuration.spaces[0]!.program[0]!.contract;
  expect(["desk-4", "boss", "bossy", "guest"].map((session) => Configurations.mayPublish(rule, session))).toEqual([
    true,
    true,
    false,
    false,
  ]);
});

test("every problem of a configuration is reported with its path", () => {
  const faultsOf = (value: unknown): string[] => {
    const read = ConfigurationSchema.read(documentOf(value));
    return "faults" in read ? read.faults.map((fault) => fault.path) : [];
  };
  expect(faultsOf(configuration)).toEqual([]);
  expect(faultsOf({ mark: 1, spaces: [configuration.spaces[0], configuration.spaces[0]] })).toEqual(["spaces.1.name"]);
  expect(faultsOf({ mark: 0, spaces: [{ name: "a b", program: [] }], more: 1 }).sort()).toEqual([
    "mark",
    "more",
    "spaces.0.name",
    "spaces.0.program",
  ]);
  expect(
    faultsOf({
      mark: 1,
      spaces: [{ name: "a", program: [{ when: { colour: 1 }, owe: { ...contract, order: "any", keep: -1 } }] }],
    }).sort(),
  ).toEqual(["spaces.0.program.0.owe.keep", "spaces.0.program.0.owe.order", "spaces.0.program.0.when.colour"]);
  for (const value of [null, 7, "plan", [], {}]) expect(faultsOf(value).length > 0).toEqual(true);
});

test("an unreadable configuration is reported and leaves the old one in force; an older one changes nothing", () => {
  const journal = new ChangeJournal<Change>();
  const view = new ConfigurationView(journal);
  const put = (value: { version: number; spaces: unknown[]; newer?: boolean }, revision: number): void => {
    const incarnations = IncarnationsKey.write({ version: value.version, spaces: { "clips/": 3 } });
    journal.append({ key: IncarnationsKey.name, value: incarnations, revision });
    journal.append({ key: "plan", value: Buffer.from(documentTextOf(value)), revision });
  };
  put(configuration, 1);
  put({ version: 9, spaces: [], newer: true }, 2);
  expect([view.version, view.fault.startsWith("cannot read the plan: newer")]).toEqual([3, true]);
  put({ version: 2, spaces: [] }, 3);
  expect(view.version).toEqual(3);
  put({ version: 10, spaces: [] }, 4);
  expect([view.version, view.fault]).toEqual([10, ""]);
  expect(view.route("clips/live/7")).toEqual(undefined);
  put({ ...configuration, version: 11 }, 5);
  expect(view.route("clips/live/7")).toEqual({ stream: "0:clips/live/7", space: "clips/", spaceIncarnation: 0 });
});

test("a configuration of a lower version than the one in force is counted as a violation", () => {
  const journal = new ChangeJournal<Change>();
  const violated: string[] = [];
  const view = new ConfigurationView(journal, {
    violated: (name, context) => void violated.push(`${name} ${context["notified"]}`),
  });
  for (const [version, revision] of [
    [3, 7],
    [2, 8],
    [4, 9],
  ] as const) {
    journal.append({ key: IncarnationsKey.name, value: IncarnationsKey.write({ version, spaces: {} }), revision });
    journal.append({ key: "plan", value: Buffer.from(JSON.stringify({ mark: version, spaces: [] })), revision });
  }
  expect([violated, view.version, view.revision]).toEqual([["configurationVersion 2"], 4, 9]);
});

const space = (name: string, more: object = {}, rule: object = {}): Configuration["spaces"][number] =>
  ({ name, program: [{ when: {}, contract: { ...contract, ...rule } }], ...more }) as Configuration["spaces"][number];

test("a space owns what starts with its prefix, and the longest prefix wins", () => {
  const nested: Configuration = {
    version: 1,
    spaces: [space("all", { prefix: "a" }), space("a"), space("deep", { prefix: "a/b." })],
  };
  const winner = (topic: string): string | undefined => Configurations.spaceOf(nested, topic)?.name;
  expect(["a", "ax", "a/", "a/b", "a/b.", "a/b.c", "b"].map(winner)).toEqual([
    "all",
    "all",
    "a",
    "a",
    "deep",
    "deep",
    undefined,
  ]);
  const rule: Configuration = {
    version: 1,
    spaces: [space("x", { prefix: "kafi.", program: [{ when: { topic: "t" }, contract }] })],
  };
  expect([
    Configurations.contractFor(rule, "kafi.t") === undefined,
    Configurations.contractFor(rule, "kafi.tt"),
  ]).toEqual([false, undefined]);
});

test("a topic is 1 to 200 printable bytes without blanks", () => {
  expect(["a", "/", "~a!", "x".repeat(200)].filter((topic) => !Configurations.isTopic(topic))).toEqual([]);
  const none: unknown[] = ["", "a b", "a\n", "\u007f", "é", "x".repeat(201), 7, undefined];
  expect(none.filter((topic) => Configurations.isTopic(topic))).toEqual([]);
});

test("prefixes, three orders, no retention, limits and deadlines are accepted, and invalid ones are reported", () => {
  const faultsOf = (...spaces: object[]): string[] => {
    const read = ConfigurationSchema.read(documentOf({ mark: 1, spaces }));
    return "faults" in read ? read.faults.map((fault) => fault.path) : [];
  };
  const whole = ConfigurationSchema.read(
    documentOf({
      mark: 12,
      spaces: [space("A.b_C-9", { prefix: "~", deadlineMs: 1500 }, { keep: 0, order: "one" })],
      limits: { subscriptions: 200, payloadBytes: 4096 },
    }),
  );
  expect("configuration" in whole && whole.configuration.spaces[0]!.program[0]!.contract.order).toEqual("space");
  expect(faultsOf(space("a"), space("b", { prefix: "a/" }))).toEqual(["spaces.1.prefix"]);
  expect(faultsOf(space("a", { prefix: "" }))).toEqual([]);
  expect(faultsOf(space("a", { prefix: "" }), space("b", { prefix: "" }))).toEqual(["spaces.1.prefix"]);
  for (const prefix of ["a b", "ä", "x".repeat(201)])
    expect(faultsOf(space("a", { prefix }))).toEqual(["spaces.0.prefix"]);
  expect(faultsOf(space("a", { deadlineMs: 0 }))).toEqual(["spaces.0.deadlineMs"]);
  const rules = (...contracts: object[]): object => ({
    program: contracts.map((contractFields) => ({ when: {}, contract: { ...contract, ...contractFields } })),
  });
  expect(faultsOf({ name: "a", ...rules({ order: "sender" }, { order: "topic", keep: 0 }) })).toEqual([]);
  expect(faultsOf({ name: "a", ...rules({ order: "topic" }, { order: "space" }) })).toEqual([
    "spaces.0.program.1.owe.order",
  ]);
  expect(faultsOf({ name: "a", ...rules({ order: "space" }, { order: "one", keep: 0 }) })).toEqual([
    "spaces.0.program.1.owe.keep",
  ]);
});

test("the reader of accepted configurations accepts what the full check accepts, and rejects every other shape", () => {
  const full = {
    version: 3,
    spaces: [space("a", { prefix: "a.", deadlineMs: 9 }, { order: "one", publishers: ["x"], maxBytes: 1 })],
    limits: { subscriptions: 1 },
  };
  const text = documentTextOf(full);
  expect(ConfigurationReader.parse(text)).toEqual(ConfigurationSchema.parse(text));
  const pathOf = (value: unknown): string => {
    const read = ConfigurationReader.read(documentOf(value));
    return "faults" in read ? read.faults[0]!.path : "none";
  };
  const broken: Array<[string, (configuration: typeof full) => unknown]> = [
    ["mark", (configuration) => ({ ...configuration, mark: 1.5 })],
    ["mark", () => ({ spaces: [] })],
    ["spaces", (configuration) => ({ ...configuration, spaces: {} })],
    ["spaces.0", (configuration) => ({ ...configuration, spaces: [null] })],
    ["newer", (configuration) => ({ ...configuration, newer: 1 })],
    ["toString", (configuration) => ({ ...configuration, toString: 1 })],
    ["limits.subscriptions", (configuration) => ({ ...configuration, limits: { subscriptions: "1" } })],
    ["spaces.0.prefix", (configuration) => ({ ...configuration, spaces: [{ ...configuration.spaces[0], prefix: 7 }] })],
    [
      "spaces.0.program.0.owe.order",
      (configuration) => ({ ...configuration, spaces: [space("a", {}, { order: "any" })] }),
    ],
    [
      "spaces.0.program.0.owe.publishers.0",
      (configuration) => ({ ...configuration, spaces: [space("a", {}, { publishers: [1] })] }),
    ],
  ];
  for (const [path, change] of broken) expect(pathOf(change(structuredClone(full)))).toEqual(path);
  for (const value of [null, 7, "plan", [], undefined]) expect(pathOf(value)).toEqual("");
  expect("faults" in ConfigurationReader.parse("{")).toEqual(true);
});

test("the full check rejects an array in place of an object, which no node could read", () => {
  const rules = (rule: object): object => ({ mark: 1, spaces: [{ name: "a", program: [rule] }] });
  const listed: Array<[string, object]> = [
    ["limits", { mark: 1, spaces: [], limits: [] }],
    ["spaces.0.program.0.when", rules({ when: [], owe: contract })],
    ["spaces.0.program.0.owe.fault_budget", rules({ when: {}, owe: { ...contract, fault_budget: [] } })],
  ];
  for (const [path, value] of listed) {
    const read = ConfigurationSchema.read(documentOf(value));
    expect("faults" in read ? read.faults.map((fault) => fault.path) : []).toEqual([path]);
  }
});
