import { test } from "node:test";
import { expect } from "earl";
import type { Change } from "../process/feedFollower.js";
import { Journal } from "../process/journal.js";
import { BirthsKey } from "./birthsKey.js";
import { Plans, type Plan } from "./plan.js";
import { PlanView } from "./planView.js";

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
    const read = Plans.read(value);
    return "faults" in read ? read.faults.map((fault) => fault.path) : [];
  };
  expect(faultsOf(plan)).toEqual([]);
  expect(faultsOf({ mark: 1, spaces: [plan.spaces[0], plan.spaces[0]] })).toEqual(["spaces.1.name"]);
  expect(faultsOf({ mark: 0, spaces: [{ name: "A", program: [] }], more: 1 }).sort()).toEqual([
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
  const journal = new Journal<Change>();
  const view = new PlanView(journal);
  const put = (value: { mark: number; spaces: unknown[]; newer?: boolean }, revision: number): void => {
    const births = BirthsKey.write({ mark: value.mark, spaces: { clips: 3 } });
    journal.append({ key: BirthsKey.name, value: births, revision });
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
  expect(view.route("clips/live/7")).toEqual({ stream: "clips/live/7", space: "clips", spaceBirth: 3 });
});
