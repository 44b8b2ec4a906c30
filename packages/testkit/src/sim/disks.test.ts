import { test } from "node:test";
import { expect } from "earl";
import type { Machine } from "../fleet/deployments.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";

const founders = [1, 2, 3].map((i): `${string}:${number}` => `10.0.0.${i}:1`);

async function founded(seed: number, count: number): Promise<SimFleet> {
  const settings = { founders, replaceVoterMs: 2000, stores: true };
  const controlNodes = Scenario.machines(count, 0, 0).map((one): Machine => ({ ...one, settings }));
  const fleet = new SimFleet(seed, [...controlNodes, ...Scenario.machines(0, 0, 1)]);
  for (const name of fleet.names) if (name !== "lathe-4") fleet.start(name);
  expect(await fleet.until(() => fleet.leader !== undefined, 6000)).toEqual(true);
  await fleet.run(2000);
  return fleet;
}

async function written(fleet: SimFleet, key: string, timeoutMs = 3000): Promise<boolean> {
  let isDone = false;
  const put = { key, value: Buffer.from(key) };
  void fleet
    .find("vise-1")!
    .node.store.txn({ puts: [put] }, timeoutMs)
    .then(({ outcome }) => (isDone = outcome === "done"));
  await fleet.until(() => isDone, timeoutMs + 200);
  return isDone;
}

test("a disk that is put into another machine is refused by name, and the store goes on", async () => {
  const fleet = await founded(301, 4);
  fleet.kill("lathe-3");
  fleet.diskOf("lathe-4").restore(fleet.diskOf("lathe-3").copy());
  expect(fleet.start("lathe-4").startFailure).toEqual("the data folder is that of lathe-3, and this is lathe-4");
  // Whoever led may just have been killed.
  expect(await fleet.until(() => fleet.leader !== undefined, 3000)).toEqual(true);
  await fleet.run(1000);
  expect(await written(fleet, "later")).toEqual(true);
});

for (const starts of [1, 2])
  test(`a copy of a disk from ${starts} start(s) ago elects nobody`, async () => {
    const fleet = await founded(301 + starts, 3);
    const leader = fleet.leader!;
    const [follower, other] = fleet.withRole("lathe").filter((name) => name !== leader);
    const older = fleet.diskOf(follower!).copy();
    // Started anew, it acknowledges what the copy does not have.
    for (let i = 0; i < starts; i += 1) {
      fleet.kill(follower!);
      fleet.start(follower!);
      await fleet.run(1500);
    }
    expect(await written(fleet, "kept")).toEqual(true);
    fleet.kill(follower!);
    await fleet.run(500);
    fleet.diskOf(follower!).restore(older);
    fleet.start(follower!);
    await fleet.run(1500);
    expect(fleet.leader).toEqual(leader);
    fleet.kill(leader);
    expect(await fleet.until(() => fleet.leader !== undefined, 5000)).toEqual(false);
    fleet.start(leader);
    expect(await fleet.until(() => fleet.leader !== undefined, 5000)).toEqual(true);
    await fleet.run(1000);
    expect(await written(fleet, "last")).toEqual(true);
    for (const name of [leader, other!])
      expect(fleet.find(name)!.control!.raft!.metadata.get("kept") !== undefined).toEqual(true);
  });
