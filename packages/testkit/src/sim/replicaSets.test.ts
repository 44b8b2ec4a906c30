import { test } from "node:test";
import { expect } from "earl";
import { Checker } from "../checker/checker.js";
import type { Machine } from "../fleet/deployments.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimPlans } from "./simPlans.js";

const founders = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"] as const;

/** Control nodes that keep topic logs themselves, with no spare beside them; later ones only join. */
const storing = (count: number): Machine[] => {
  const settings = { stores: true, lathes: 3, founders: [...founders] };
  return [
    ...Scenario.machines(count, 0, 0).map((machine) => ({ ...machine, settings })),
    ...Scenario.machines(0, 0, 2),
  ];
};

type Members = ReadonlyArray<{ name: string; id: string; zone: string }>;
const setsOf = (fleet: SimFleet, node = "vise-1"): Members[] =>
  fleet
    .find(node)!
    .node.shards.all()
    .map(([, route]) => route.set?.members ?? []);
async function begin(fleet: SimFleet, later: readonly string[]): Promise<SimLoad> {
  const load = new SimLoad(fleet);
  expect(await load.begin(8, 6, later)).toEqual(true);
  load.play(20);
  await fleet.run(2000);
  return load;
}

/** Puts the usual contracts with another fault budget in force. */
async function accept(fleet: SimFleet, load: SimLoad, faultBudget: object): Promise<void> {
  const spaces = SimPlans.usual();
  for (const [rule] of Object.values(spaces)) rule!.owe["fault_budget"] = faultBudget;
  let status = 0;
  void load.putPlan(SimPlans.write(load.nextMark, spaces)).then((got) => (status = got));
  expect(await fleet.until(() => status !== 0, 6000)).toEqual(true);
  expect(status).toEqual(200);
}

async function judged(fleet: SimFleet, load: SimLoad): Promise<string[]> {
  expect(await load.settle(12_000)).toEqual(true);
  await load.readPlan();
  return Checker.judge(load.history.seen, fleet.world.now).map((breach) => `${breach.rule}: ${breach.text}`);
}

test("a drain with a spare machine in another zone ends within 6 s", async () => {
  const fleet = new SimFleet(221, storing(4), 12);
  const load = await begin(fleet, ["lathe-4"]);
  await accept(fleet, load, { machines: 1 });
  fleet.start("lathe-4");
  await fleet.run(3000);
  load.ask("PUT", "lathe-2");
  const isEmpty = (): boolean => setsOf(fleet).every((members) => members.every(({ name }) => name !== "lathe-2"));
  expect(await fleet.until(isEmpty, 6000)).toEqual(true);
  load.ask("DELETE", "lathe-2");
  expect(await judged(fleet, load)).toEqual([]);
});
