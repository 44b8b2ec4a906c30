import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { Checker } from "../checker/checker.js";
import type { Machine } from "../fleet/deployments.js";
import { startTestFleet } from "./testClient.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

const zones = ["north", "south", "west"];
const withSpares = (storageCount: number): Machine[] => [
  ...Array.from({ length: 3 }, (_, i): Machine => ({ name: `lathe-${i + 1}`, role: "lathe", zone: zones[i]! })),
  ...Array.from({ length: storageCount }, (_, i): Machine => ({
    name: `anvil-${i + 1}`,
    role: "anvil",
    zone: zones[i % 3]!,
  })),
  ...Array.from({ length: 2 }, (_, i): Machine => ({ name: `vise-${i + 1}`, role: "vise", zone: zones[i]! })),
];

async function loaded(seed: number, machines: Machine[]): Promise<{ fleet: SimFleet; load: SimLoad }> {
  const fleet = new SimFleet(seed, machines);
  const load = new SimLoad(fleet);
  expect(await load.start(8)).toEqual(true);
  load.startPublishing(20);
  await fleet.run(2000);
  return { fleet, load };
}

const setsOf = (fleet: SimFleet): string[][] =>
  fleet
    .find("vise-1")!
    .node.shards.all()
    .map(([, route]) => route.set?.members.map((member) => member.name).sort() ?? []);
const isHeld = (fleet: SimFleet): boolean =>
  fleet
    .find("vise-1")!
    .node.shards.all()
    .every(([, route]) => route.leader !== "");

async function checkedAfterLoad(fleet: SimFleet, load: SimLoad): Promise<string[]> {
  expect(await load.finishPublishes(12_000)).toEqual(true);
  await load.readConfiguration();
  return Checker.check(load.history.events, fleet.world.now).map((breach) => `${breach.rule}: ${breach.text}`);
}

const streamShard = (fleet: SimFleet, topic: string): number => {
  const { node, edge } = fleet.find("vise-1")!;
  return edge!.streams.shardOf(node.configuration.route(topic)!.stream);
};

const shardLeaderOf = (fleet: SimFleet, topic: string): string =>
  fleet.find("vise-1")!.node.shards.find(streamShard(fleet, topic)).leader;

async function acceptConfiguration(fleet: SimFleet, load: SimLoad, spaces: readonly string[]): Promise<number> {
  const version = load.nextVersion;
  let status = 0;
  void load.proposeConfiguration({ ...SimLoad.configuration(version, spaces), version }).then((got) => (status = got));
  expect(await fleet.until(() => status === 200, 5000)).toEqual(true);
  return version;
}

/** Takes the space out of the configuration and sees that nothing is accepted in it from 3 s later on. */
async function removeNotes(fleet: SimFleet, load: SimLoad): Promise<number> {
  const version = await acceptConfiguration(fleet, load, ["notices"]);
  await fleet.run(3000);
  const before = load.history.events.length;
  await fleet.run(3000);
  expect(
    load.history.events.slice(before).filter((one) => one.kind === "accepted" && one.topic.startsWith("notes/")),
  ).toEqual([]);
  return version;
}

async function call(
  fleet: SimFleet,
  method: string,
  path: string,
): Promise<{ status: number; body: Record<string, unknown> }> {
  let got: { status: number; body: Record<string, unknown> } | undefined;
  void fleet.port.call("vise-1", method, path, undefined).then((reply) => (got = reply));
  expect(await fleet.until(() => got !== undefined, 6000)).toEqual(true);
  return got!;
}

test(
  "a machine is emptied under load, repeatably, with progress; a restart midway resumes; it " + "is undone by asking",
  async () => {
    const { fleet, load } = await loaded(31, withSpares(3));
    const path = "/v1/machines/anvil-2/emptying";
    expect((await call(fleet, "PUT", path)).body["shardsLeft"]).toEqual(4);
    expect((await call(fleet, "PUT", path)).status).toEqual(200);
    await fleet.run(600);
    fleet.kill("anvil-1");
    await fleet.run(500);
    fleet.start("anvil-1");
    expect(await fleet.until(() => setsOf(fleet).every((set) => !set.includes("anvil-2")), 40_000)).toEqual(true);
    expect((await call(fleet, "GET", path)).body["isEmpty"]).toEqual(true);
    expect(await fleet.until(() => isHeld(fleet), 8000)).toEqual(true);
    fleet.wipe("anvil-2");
    await fleet.run(2000);
    fleet.start("anvil-2");
    expect((await call(fleet, "DELETE", path)).body["isAsked"]).toEqual(false);
    expect(await fleet.until(() => setsOf(fleet).every((set) => set.includes("anvil-2")), 40_000)).toEqual(true);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  },
);

test("emptying is refused, with the reason, where the contracts could not be kept", async () => {
  const { fleet } = await loaded(32, withSpares(3));
  fleet.kill("lathe-2");
  await fleet.run(3000);
  const refused = await call(fleet, "PUT", "/v1/machines/anvil-2/emptying");
  expect([refused.status, (refused.body["error"] as { code: string; message: string }).code]).toEqual([
    409,
    "contract-at-risk",
  ]);
  expect((refused.body["error"] as { message: string }).message).toEqual(
    expect.includes("space notices must survive the loss of a zone"),
  );
  expect((await call(fleet, "PUT", "/v1/machines/anvil-9/emptying")).status).toEqual(404);
  expect((await call(fleet, "PUT", "/v1/machines/vise-1/emptying")).status).toEqual(404);
});

test(
  "a lost storage machine is replaced by a spare in its zone, and a blank one in its place " +
    "takes over from the spare",
  async () => {
    const { fleet, load } = await loaded(33, withSpares(3));
    fleet.wipe("anvil-3");
    expect(
      await fleet.until(() => setsOf(fleet).every((set) => !set.includes("anvil-3") && set.length === 3), 40_000),
    ).toEqual(true);
    expect(setsOf(fleet).every((set) => set.includes("lathe-3"))).toEqual(true);
    fleet.start("anvil-3");
    expect(
      await fleet.until(() => setsOf(fleet).every((set) => set.join() === "anvil-1,anvil-2,anvil-3"), 40_000),
    ).toEqual(true);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  },
);

test("one machine's disk after the other is lost, each once the last is mended: no message is", async () => {
  const { fleet, load } = await loaded(34, withSpares(3));
  for (const name of ["anvil-1", "anvil-2", "anvil-3"]) {
    const lost = fleet.find(name)!.storage!.diskId;
    fleet.wipe(name);
    await fleet.run(1000);
    fleet.start(name);
    const isMended = (): boolean =>
      isHeld(fleet) &&
      fleet
        .find("vise-1")!
        .node.shards.all()
        .every(([, route]) => route.set!.members.every((member) => member.id !== lost));
    expect(await fleet.until(isMended, 40_000)).toEqual(true);
  }
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test("a whole zone is lost and its disks with it: what was promised to survive it does", async () => {
  const { fleet, load } = await loaded(35, withSpares(3));
  for (const name of fleet.names.filter((one) => fleet.zoneOf(one) === "west")) fleet.wipe(name);
  expect(await fleet.until(() => isHeld(fleet), 8000)).toEqual(true);
  await fleet.run(3000);
  fleet.startAll();
  expect(
    await fleet.until(() => setsOf(fleet).every((set) => set.join() === "anvil-1,anvil-2,anvil-3"), 60_000),
  ).toEqual(true);
  expect(await checkedAfterLoad(fleet, load)).toEqual([]);
});

test(
  "a holder frozen past its lease wakes into a fleet that went on: it neither acks nor " + "delivers for its old epoch",
  async () => {
    const { fleet, load } = await loaded(36, Scenario.machines());
    for (let round = 0; round < 3; round += 1) {
      const leaders = new Set(
        fleet
          .find("vise-1")!
          .node.shards.all()
          .map(([, route]) => route.leader),
      );
      const frozen = [...leaders][0]!;
      fleet.pause(frozen, 7000);
      expect(
        await fleet.until(
          () =>
            isHeld(fleet) &&
            fleet
              .find("vise-1")!
              .node.shards.all()
              .every(([, route]) => route.leader !== frozen),
          6000,
        ),
      ).toEqual(true);
      await fleet.run(6000);
    }
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  },
);

test(
  "a removed space ends everywhere within 3 s, also at a holder that cannot hear of it; made " +
    "again its topics go on, and are new once nothing of them was owed any more",
  async () => {
    const { fleet, load } = await loaded(37, Scenario.machines());
    const leaderName = shardLeaderOf(fleet, "notes/t1");
    fleet.isolate(leaderName, fleet.withRole("lathe"), "both");
    await removeNotes(fleet, load);
    fleet.wires.heal();
    await fleet.run(3000);
    await acceptConfiguration(fleet, load, ["notes", "notices"]);
    const places = (): string[] =>
      load.history.events.flatMap((one) => (one.kind === "accepted" && one.topic === "notes/t1" ? [one.place] : []));
    const incarnations = (): Set<string | undefined> => new Set(places().map((place) => place.split(".")[0]));
    const before = places().length;
    // The load picks its topics at random.
    expect(await fleet.until(() => places().length > before, 10_000)).toEqual(true);
    await fleet.run(3000);
    expect(incarnations().size).toEqual(1);
    // For longer than any contract keeps a message.
    await removeNotes(fleet, load);
    await fleet.run(150_000);
    await acceptConfiguration(fleet, load, ["notes", "notices"]);
    const later = places().length;
    expect(await fleet.until(() => places().length > later, 10_000)).toEqual(true);
    expect(incarnations().size).toEqual(2);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  },
);

test(
  "an edge and a storage machine are added to a running fleet: the one takes clients, the " + "other what is emptied",
  async () => {
    const fleet = new SimFleet(38, withSpares(4));
    const load = new SimLoad(fleet);
    expect(await load.start(8, 6, ["anvil-4", "vise-2"])).toEqual(true);
    load.startPublishing(20);
    await fleet.run(2000);
    expect(setsOf(fleet).every((set) => !set.includes("anvil-4"))).toEqual(true);
    fleet.startAll();
    expect(await fleet.until(() => fleet.find("vise-2")!.edge!.isReady, 8000)).toEqual(true);
    expect((await call(fleet, "PUT", "/v1/machines/anvil-1/emptying")).status).toEqual(200);
    expect(await fleet.until(() => setsOf(fleet).every((set) => set.includes("anvil-4")), 40_000)).toEqual(true);
    load.disconnectAll();
    expect(await fleet.until(() => fleet.find("vise-2")!.edge!.sessions.connectionCount > 0, 8000)).toEqual(true);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  },
);

test("a leader that keeps its lease but hears nothing of configurations stops taking messages", async () => {
  const { fleet, load } = await loaded(39, Scenario.machines());
  const leaderName = shardLeaderOf(fleet, "notes/t1");
  fleet.wires.mutate = (_from, to, bytes) =>
    to === fleet.addressOf(leaderName) && Wire.decode(bytes)?.body.case === "feedPush" ? [] : undefined;
  const version = await removeNotes(fleet, load);
  fleet.wires.heal();
  expect(await fleet.until(() => fleet.find(leaderName)!.node.configuration.version === version, 6000)).toEqual(true);
});

test("status says which contracts are at risk just now, and why; and no more once the loss is mended", async () => {
  const { fleet } = await loaded(62, withSpares(3));
  const risks = async (): Promise<string[]> =>
    ((await call(fleet, "GET", "/v1/status")).body["risks"] as Array<{ space: string; budget: string }>).map(
      ({ space, budget }) => `${space} ${budget}`,
    );
  expect(await risks()).toEqual([]);
  fleet.wipe("anvil-2");
  await fleet.run(2500);
  expect(await risks()).toEqual(["notes machines", "notices machines", "notices zones"]);
  expect(await fleet.until(() => setsOf(fleet).every((set) => !set.includes("anvil-2")), 40_000)).toEqual(true);
  await fleet.run(1000);
  expect(await risks()).toEqual([]);
});

for (const what of ["machine", "zone"] as const) {
  test(`a ${what} is lost for good while receipts are given: what was accepted reaches everybody`, async () => {
    const { fleet, load } = await loaded(63, withSpares(3));
    const zone = fleet.zoneOf("anvil-1");
    const lost = what === "machine" ? ["anvil-1"] : fleet.names.filter((name) => fleet.zoneOf(name) === zone);
    const before = load.history.events.filter((one) => one.kind === "accepted").length;
    for (const name of lost) fleet.removeForGood(name);
    await fleet.run(6000);
    const after = load.history.events.filter((one) => one.kind === "accepted").length;
    expect(after - before > 30).toEqual(true);
    expect(await checkedAfterLoad(fleet, load)).toEqual([]);
  });
}

test("a leader that comes back with a blank disk gives up at once what its earlier self held", async () => {
  const { fleet } = await startTestFleet(57);
  const { shardLeader: leaderName } = fleet;
  const routes = (): Array<[number, { leader: string; epoch: number }]> => fleet.find("vise-1")!.node.shards.all();
  const held = routes().flatMap(([shard, route]) =>
    route.leader === leaderName ? [{ shard, epoch: route.epoch }] : [],
  );
  expect(held.length > 0).toEqual(true);
  fleet.wipe(leaderName!);
  await fleet.run(50);
  const { node } = fleet.start(leaderName!);
  const startedAt = fleet.world.now;
  const isFreed = (): boolean =>
    held.every(({ shard, epoch }) => node.shards.find(shard).epoch !== epoch && node.feed.revision > 0);
  expect(await fleet.until(isFreed, 3000)).toEqual(true);
  expect(fleet.world.now - startedAt < 1000).toEqual(true);
});
