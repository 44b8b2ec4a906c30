import { test } from "node:test";
import { Membership } from "@cranetrack/core/membership/membership.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";

async function started(seed: number, edgeCount = 6): Promise<SimFleet> {
  const fleet = new SimFleet(seed, Scenario.machines(3, 3, edgeCount));
  fleet.startAll();
  const isWhole = (): boolean =>
    fleet.names.every((name) => fleet.find(name)!.node.membership.alive().length === fleet.names.length);
  expect(await fleet.until(isWhole, 5000)).toEqual(true);
  return fleet;
}

/** Who takes a member for alive, of the others that run. */
const believers = (fleet: SimFleet, name: string): string[] =>
  fleet.names.filter((other) => other !== name && fleet.find(other)?.node.membership.isAlive(name) === true);
const others = (fleet: SimFleet, ...names: string[]): string[] => fleet.names.filter((name) => !names.includes(name));
const watchersOf = (fleet: SimFleet, name: string): string[] =>
  fleet.find(name)!.node.membership.watchersOf(name).sort();
/** How often any node suspected anybody. */
const suspicions = (fleet: SimFleet): string[] => {
  const heard: string[] = [];
  for (const name of fleet.names)
    fleet.find(name)!.node.membership.on("suspected", (whom) => heard.push(`${name} of ${whom}`));
  return heard;
};

test("whoever falls silent is suspected by everybody within 2.5 s, and nobody else is", async () => {
  const fleet = await started(71);
  await fleet.run(5000);
  for (const [i, fail] of [
    (name: string) => fleet.kill(name),
    (name: string) => fleet.pause(name, 6000),
    (name: string) => fleet.isolate(name, fleet.names, "out"),
  ].entries()) {
    const name = `vise-${i + 1}`;
    const running = others(fleet, name).filter((one) => fleet.find(one) !== undefined);
    const expected = believers(fleet, "vise-6");
    fail(name);
    const at = fleet.world.now;
    await fleet.run(Membership.suspectAfterMs - 400);
    expect(believers(fleet, name).length).toEqual(running.length);
    expect(await fleet.until(() => believers(fleet, name).length === 0, 2500)).toEqual(true);
    expect(fleet.world.now - at < 2500).toEqual(true);
    expect(believers(fleet, "vise-6").filter((one) => one !== name)).toEqual(expected.filter((one) => one !== name));
    await fleet.run(6000);
  }
});

test("a member whose watchers all die with it is found missing by others", async () => {
  const fleet = await started(72, 12);
  const fallen = ["vise-4", ...watchersOf(fleet, "vise-4")];
  for (const name of fallen) fleet.kill(name);
  const isFound = (): boolean => fallen.every((name) => believers(fleet, name).length === 0);
  expect(await fleet.until(isFound, 5000)).toEqual(true);
});

test("a watcher that dies is replaced by another live one", async () => {
  const fleet = await started(73);
  const [first, ...rest] = watchersOf(fleet, "vise-1");
  fleet.kill(first!);
  expect(await fleet.until(() => !watchersOf(fleet, "vise-1").includes(first!), 2500)).toEqual(true);
  const watchers = watchersOf(fleet, "vise-1");
  expect([watchers.length, rest.every((name) => watchers.includes(name))]).toEqual([Membership.watcherCount, true]);
  for (const name of rest) fleet.kill(name);
  await fleet.run(3000);
  fleet.kill("vise-1");
  expect(await fleet.until(() => believers(fleet, "vise-1").length === 0, 2500)).toEqual(true);
});

for (const ways of ["in", "out", "both"] as const)
  test(`a peer that is cut off one watcher (${ways}) is suspected by nobody`, async () => {
    const fleet = await started(74);
    const heard = suspicions(fleet);
    fleet.isolate("vise-1", watchersOf(fleet, "vise-1").slice(0, 1), ways);
    await fleet.run(15_000);
    expect(heard).toEqual([]);
    expect(believers(fleet, "vise-1").length).toEqual(fleet.names.length - 1);
  });

test("a node that hears nobody takes nobody for alive and accuses nobody; it is back at once", async () => {
  const fleet = await started(75);
  const heard = suspicions(fleet);
  fleet.isolate("vise-2", fleet.names, "in");
  await fleet.run(8000);
  expect(
    fleet
      .find("vise-2")!
      .node.membership.alive()
      .map((member) => member.name),
  ).toEqual(["vise-2"]);
  expect(heard.filter((text) => text.startsWith("vise-2"))).toEqual([]);
  fleet.wires.heal();
  await fleet.run(2000);
  expect(fleet.find("vise-2")!.node.membership.alive().length).toEqual(fleet.names.length);
  expect(believers(fleet, "vise-2").length).toEqual(fleet.names.length - 1);
});

test("who was frozen refutes the suspicion once it wakes, everywhere", async () => {
  const fleet = await started(76);
  fleet.pause("vise-3", 5000);
  await fleet.run(4500);
  expect(believers(fleet, "vise-3")).toEqual([]);
  await fleet.run(1500);
  expect(believers(fleet, "vise-3").length).toEqual(fleet.names.length - 1);
  for (const name of fleet.names) expect(fleet.find(name)!.node.membership.find("vise-3")!.isSuspected).toEqual(false);
});

test("a node that restarts under its name, suspected or not, is known in its new life within 1.5 s", async () => {
  const fleet = await started(77);
  for (const stoppedMs of [100, 4000]) {
    fleet.kill("vise-4");
    await fleet.run(stoppedMs);
    const { incarnation } = fleet.start("vise-4").node.membership.self;
    const isKnown = (): boolean =>
      others(fleet, "vise-4").every((name) => {
        const { membership } = fleet.find(name)!.node;
        return membership.find("vise-4")!.incarnation === incarnation && membership.isAlive("vise-4");
      });
    expect(await fleet.until(isKnown, 1500)).toEqual(true);
    expect(fleet.find("vise-4")!.node.membership.alive().length).toEqual(fleet.names.length);
  }
});

test("two halves that were parted past forgetting find one another again", async () => {
  const fleet = await started(78);
  const part = fleet.withRole("vise");
  for (const name of part) fleet.isolate(name, others(fleet, ...part), "both");
  await fleet.run(Membership.removeAfterMs + 15_000);
  expect(fleet.find("vise-1")!.node.membership.find("anvil-1")).toEqual(undefined);
  fleet.wires.heal();
  const isWhole = (): boolean =>
    fleet.names.every((name) => fleet.find(name)!.node.membership.alive().length === fleet.names.length);
  expect(await fleet.until(isWhole, 5000)).toEqual(true);
});

test("what a node sends to keep the others known does not grow with the fleet", async () => {
  const most: number[] = [];
  for (const edgeCount of [6, 54]) {
    const fleet = await started(79, edgeCount);
    await fleet.run(10_000);
    const sent = new Map<string, number>();
    fleet.wires.mutate = (from, _to, bytes) => {
      const kind = Wire.decode(bytes)?.body.case;
      if (kind === "gossip" || kind === "ping" || kind === "done") sent.set(from, (sent.get(from) ?? 0) + bytes.length);
      return undefined;
    };
    await fleet.run(10_000);
    most.push(Math.max(...sent.values()) / 10);
  }
  const [few, many] = most;
  expect([few! < 2048, many! < 2048]).toEqual([true, true]);
});

test("a member asks the same few partners, however many members there are", async () => {
  const fleet = await started(79, 40);
  await fleet.run(5000);
  const own = fleet.addressOf("vise-1");
  const asked = new Set<string>();
  let questions = 0;
  fleet.wires.mutate = (from, to, bytes) => {
    const body = from === own ? Wire.decode(bytes)?.body : undefined;
    if (body?.case === "gossip" && body.value.isAsking && body.value.digests.length === 0) {
      asked.add(to);
      questions += 1;
    }
    return undefined;
  };
  await fleet.run(30_000);
  expect([asked.size <= Membership.partnerCount, questions > 40]).toEqual([true, true]);
});
