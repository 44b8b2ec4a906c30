import { test } from "node:test";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { expect } from "earl";
import { Checker } from "../checker/checker.js";
import type { Machine } from "../fleet/deployments.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { SimConfigurations } from "./simConfigurations.js";

const founders = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"] as const;

/** Three control nodes found the store; storage machines of their own, of which the fourth comes later. */
const withStorage = (count: number, settings: Machine["settings"] = {}): Machine[] => [
  ...Scenario.machines(3, 0, 0).map((machine) => ({ ...machine, settings })),
  ...Scenario.machines(0, count, 0).map((machine) => ({ ...machine, settings })),
  ...Scenario.machines(0, 0, 2).map((machine) => ({ ...machine, settings })),
];

/** Control nodes that keep topic logs themselves, with no spare beside them; later ones only join. */
const storing = (count: number): Machine[] => {
  const settings = { stores: true, controlNodes: 3, founders: [...founders], replaceVoterMs: 1000 };
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
const held = (fleet: SimFleet, name: string): number =>
  fleet
    .find("vise-1")!
    .node.shards.all()
    .filter(([, route]) => route.leader === name).length;

async function begin(fleet: SimFleet, later: readonly string[]): Promise<SimLoad> {
  const load = new SimLoad(fleet);
  expect(await load.start(8, 6, later)).toEqual(true);
  load.startPublishing(20);
  await fleet.run(2000);
  return load;
}

/** Puts the usual contracts with another fault budget in force. */
async function accept(fleet: SimFleet, load: SimLoad, faultBudget: object): Promise<void> {
  const spaces = SimConfigurations.usual();
  for (const [rule] of Object.values(spaces)) rule!.contract["fault_budget"] = faultBudget;
  let status = 0;
  void load.proposeConfiguration(SimConfigurations.write(load.nextVersion, spaces)).then((got) => (status = got));
  expect(await fleet.until(() => status !== 0, 6000)).toEqual(true);
  expect(status).toEqual(200);
}

async function checkedAfterLoad(fleet: SimFleet, load: SimLoad): Promise<string[]> {
  expect(await load.finishPublishes(12_000)).toEqual(true);
  await load.readConfiguration();
  return Checker.check(load.history.events, fleet.world.now).map((breach) => `${breach.rule}: ${breach.text}`);
}

/**
 * Shards of which something committed is not on a majority of the set in force. Only for a fleet in which all
 * machines of the sets run.
 */
function unkept(fleet: SimFleet): number[] {
  const { leader } = fleet;
  if (leader === undefined) return [];
  const storages = fleet.names.flatMap((name) => fleet.find(name)?.control?.storage ?? fleet.find(name)?.storage ?? []);
  return fleet
    .find(leader)!
    .node.shards.all()
    .filter(([shard, { set }]) => {
      const committed = Math.max(...storages.map((storage) => storage.replicas[shard]!.applied));
      const logs = (set?.members ?? []).map(
        ({ id }) => storages.find((one) => one.diskId === id)!.replicas[shard]!.log,
      );
      return logs.filter((log) => log.syncedIndex >= committed).length * 2 <= logs.length;
    })
    .map(([shard]) => shard);
}

/** How long a machine that takes another's place has until the next loss may come. */
const syncMs = 4100;
const byShardsHeld = (fleet: SimFleet): string[] =>
  ["anvil-1", "anvil-2", "anvil-3"].sort((a, b) => held(fleet, b) - held(fleet, a));
const roles = {
  most: (fleet: SimFleet) => byShardsHeld(fleet)[0]!,
  fewest: (fleet: SimFleet) => byShardsHeld(fleet).at(-1)!,
};

for (const [role, choose] of Object.entries(roles))
  for (const seed of [201, 202, 203, 204])
    test(`who holds the ${role} shards is replaced, a disk goes as all lose power: none lost (${seed})`, async () => {
      const fleet = new SimFleet(seed, withStorage(4), 12);
      const load = await begin(fleet, ["anvil-4"]);
      const lost = choose(fleet);
      fleet.removeForGood(lost);
      await fleet.run(1000);
      fleet.start("anvil-4");
      await fleet.run(syncMs);
      const isWhole = setsOf(fleet).every((members) => members.every((member) => member.name !== lost));
      const left = fleet.withRole("anvil").filter((name) => name !== lost);
      fleet.wipe(left[0]!);
      for (const name of left) fleet.kill(name);
      await fleet.run(1700);
      for (const name of left) fleet.start(name);
      expect(await checkedAfterLoad(fleet, load)).toEqual([]);
      expect(isWhole).toEqual(true);
    });

for (const seed of [201, 204, 205, 211, 212])
  test(`a control node that stores and leads the store is replaced, a disk goes: none lost (${seed})`, async () => {
    const fleet = new SimFleet(seed, storing(4), 12);
    const load = await begin(fleet, ["lathe-4"]);
    for (const name of fleet.withRole("lathe")) fleet.configure(name, { mayFound: false });
    const lost = fleet.leader!;
    fleet.removeForGood(lost);
    await fleet.run(1000);
    fleet.start("lathe-4");
    await fleet.run(syncMs);
    const isWhole = setsOf(fleet).every((members) => members.every((member) => member.name !== lost));
    const left = fleet.withRole("lathe").filter((name) => name !== lost);
    fleet.wipe(left[0]!);
    for (const name of left) fleet.kill(name);
    await fleet.run(1700);
    for (const name of left) fleet.start(name);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
    expect(isWhole).toEqual(true);
  });

test("a machine that is back soon keeps its replicas, and one that stays away does not", async () => {
  const fleet = new SimFleet(211, withStorage(4, { replaceReplicaMs: 4000 }));
  const load = await begin(fleet, []);
  const before = JSON.stringify(setsOf(fleet));
  fleet.kill("anvil-2");
  await fleet.run(2500);
  fleet.start("anvil-2");
  await fleet.run(3000);
  expect(JSON.stringify(setsOf(fleet))).toEqual(before);
  fleet.kill("anvil-2");
  const isMoved = (): boolean =>
    setsOf(fleet).every((members) => members.length === 3 && members.every(({ name }) => name !== "anvil-2"));
  expect(await fleet.until(isMoved, 8000)).toEqual(true);
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test("a drain with a spare machine in another zone ends within 6 s", async () => {
  const fleet = new SimFleet(221, storing(4), 12);
  const load = await begin(fleet, ["lathe-4"]);
  await accept(fleet, load, { machines: 1 });
  fleet.start("lathe-4");
  await fleet.run(3000);
  load.requestEmptying("PUT", "lathe-2");
  const lost = new Set<number>();
  const isEmpty = (): boolean => {
    unkept(fleet).forEach((shard) => lost.add(shard));
    return setsOf(fleet).every((members) => members.every(({ name }) => name !== "lathe-2"));
  };
  expect(await fleet.until(isEmpty, 6000)).toEqual(true);
  expect([...lost]).toEqual([]);
  load.requestEmptying("DELETE", "lathe-2");
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test("a drain never costs the survival of a zone's loss where a contract asks for it", async () => {
  const fleet = new SimFleet(223, storing(4), 12);
  const load = await begin(fleet, ["lathe-4"]);
  // The drain is accepted before the contract that asks for zones; the machine that is left is in a taken zone.
  await accept(fleet, load, { machines: 1 });
  fleet.start("lathe-4");
  await fleet.run(3000);
  const isAcrossZones = (): boolean =>
    setsOf(fleet).every((members) => new Set(members.map(({ zone }) => zone)).size === 3);
  await accept(fleet, load, { machines: 1, zones: 1 });
  void fleet
    .find("lathe-1")!
    .node.store.txn({ puts: [{ key: DrainKey.of("lathe-2"), value: DrainKey.write(undefined) }] });
  await fleet.run(6000);
  expect(isAcrossZones()).toEqual(true);
  expect(setsOf(fleet).every((members) => members.some(({ name }) => name === "lathe-2"))).toEqual(true);
  load.requestEmptying("DELETE", "lathe-2");
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test("a lost replica is replaced in whatever zone there is a machine, and spread over zones again later", async () => {
  const fleet = new SimFleet(222, withStorage(4, { replaceReplicaMs: 2000 }), 12);
  const load = await begin(fleet, []);
  fleet.kill("anvil-2");
  const isRepaired = (): boolean => setsOf(fleet).every((members) => members.every(({ name }) => name !== "anvil-2"));
  expect(await fleet.until(isRepaired, 6000)).toEqual(true);
  fleet.start("anvil-2");
  const isAcrossZones = (): boolean =>
    setsOf(fleet).every((members) => new Set(members.map(({ zone }) => zone)).size === 3);
  expect(await fleet.until(isAcrossZones, 15_000)).toEqual(true);
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

/** Ten machines with a disk in six zones of three regions, two losses allowed; and four edges. */
function large(): Machine[] {
  const place = (i: number): Pick<Machine, "zone"> & { region: string } => ({
    zone: `zone-${i % 6}`,
    region: `region-${i % 3}`,
  });
  const storing = { stores: true, controlNodes: 3, voters: 5, founders: [...founders], replaceVoterMs: 1500 };
  const make = (role: Machine["role"], count: number, settings: Machine["settings"]): Machine[] =>
    Array.from({ length: count }, (_, i) => ({
      name: `${role}-${i + 1}`,
      role,
      zone: place(i).zone,
      settings: { ...settings, replicas: 5, region: place(i).region },
    }));
  return [...make("lathe", 10, storing), ...make("vise", 4, { controlNodes: 3 })];
}

test("two losses allowed: five replicas in five zones, five voters; and both lose nothing", async () => {
  const fleet = new SimFleet(231, large(), 12);
  const load = await begin(fleet, []);
  for (const name of fleet.withRole("lathe")) fleet.configure(name, { mayFound: false });
  await accept(fleet, load, { machines: 2 });
  for (const members of setsOf(fleet)) {
    expect(new Set(members.map(({ zone }) => zone)).size).toEqual(5);
    const regions = members.map(({ zone }) => Number(zone.split("-")[1]) % 3);
    expect([0, 1, 2].every((region) => regions.filter((one) => one === region).length <= 2)).toEqual(true);
  }
  const { members } = fleet.find(fleet.leader!)!.control!.raft!;
  expect([members.voters.length, members.learners.length]).toEqual([5, 0]);
  const lost = setsOf(fleet)[0]!
    .slice(0, 2)
    .map(({ name }) => name);
  for (const name of lost) fleet.removeForGood(name);
  const isWhole = (): boolean =>
    setsOf(fleet).every((set) => set.length === 5 && set.every(({ name }) => !lost.includes(name)));
  expect(await fleet.until(isWhole, 20_000)).toEqual(true);
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test("sets grow and shrink one member at a time to what the settings ask for, under load", async () => {
  const fleet = new SimFleet(241, withStorage(5), 8);
  const load = await begin(fleet, []);
  const sizes = (): number[] => [...new Set(setsOf(fleet).map((members) => members.length))];
  expect(sizes()).toEqual([3]);
  for (const replicas of [5, 3]) {
    for (const name of fleet.names) fleet.configure(name, { replicas });
    for (const name of fleet.withRole("anvil")) {
      fleet.kill(name);
      fleet.start(name);
      await fleet.run(3000);
    }
    const lost = new Set<number>();
    const isDone = (): boolean => {
      unkept(fleet).forEach((shard) => lost.add(shard));
      return sizes().join() === String(replicas);
    };
    expect(await fleet.until(isDone, 20_000)).toEqual(true);
    expect([...lost]).toEqual([]);
  }
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});
