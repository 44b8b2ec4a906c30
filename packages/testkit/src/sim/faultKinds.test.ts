import { test } from "node:test";
import { expect } from "earl";
import { Faults, type FaultName } from "./faults.js";
import { Scenario } from "./scenario.js";

const groups = 8;
const seedOf = (group: number): number => 601 + group;

/** Every kind is in one group; each group in a run of its own, in which each kind comes up before any comes again. */
const inGroup = (group: number): FaultName[] => {
  const size = Math.ceil(Faults.all.length / groups);
  return Faults.all.slice(group * size, (group + 1) * size);
};

for (let group = 0; group < groups; group += 1) {
  const names = inGroup(group);
  test(`seed ${seedOf(group)}: ${names.join(", ")} come about, no breach, service back`, async () => {
    const options = { faults: names, isDealt: true, faultMs: 45_000, machines: Scenario.machines(5, 4, 5) };
    const { faults, breaches } = await Scenario.run(seedOf(group), { ...options, lateMachines: ["anvil-4", "vise-5"] });
    expect(breaches.map(({ rule, text }) => `${rule}: ${text}`)).toEqual([]);
    const caused = new Set(faults.map((fault) => fault.split(" ")[1]));
    expect(names.filter((name) => !caused.has(name))).toEqual([]);
  });
}
