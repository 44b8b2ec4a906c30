import { test } from "node:test";
import { DrainMachine } from "@cranetrack/control/drain/drainMachine.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import type { Machine } from "../fleet/deployments.js";
import { startTestFleet, type TestFleet } from "./testClient.js";
import { Scenario } from "./scenario.js";
import type { SimFleet } from "./simFleet.js";

/** Control nodes that store topic logs too; three of them vote and the others stand by. Two edges. */
function machines(count: number): Machine[] {
  const founders = [1, 2, 3].map((i): `${string}:${number}` => `10.0.0.${i}:1`);
  const settings = { founders, replaceVoterMs: 1367, stores: true };
  const controlNodes = Scenario.machines(count, 0, 0).map((one): Machine => ({ ...one, settings }));
  return [...controlNodes, ...Scenario.machines(0, 0, 2)];
}

const path = (name: string): string => `/v1/machines/${name}/emptying`;
const voters = (fleet: SimFleet): string[] =>
  fleet.leader === undefined
    ? []
    : fleet
        .find(fleet.leader)!
        .control!.raft!.members.voters.map((one) => one.name)
        .sort();
const others = (fleet: SimFleet, ...names: string[]): string[] =>
  fleet.withRole("lathe").filter((name) => !names.includes(name) && fleet.find(name) !== undefined);

/** Asks one node after the other until the machine is empty. */
async function emptied(
  { fleet, ask }: TestFleet,
  name: string,
  at: readonly string[],
  timeoutMs = 40_000,
): Promise<boolean> {
  const deadline = fleet.world.now + timeoutMs;
  for (let i = 0; fleet.world.now < deadline; i += 1) {
    if ((await ask(at[i % at.length]!, "GET", path(name)))["isEmpty"] === true) return true;
    await fleet.run(50);
  }
  return false;
}

/** A configuration with the next version is taken, and read back. */
async function isServed({ fleet, load, ask }: TestFleet, node: string): Promise<boolean> {
  let status = 0;
  const deadline = fleet.world.now + 6000;
  while (status !== 200 && fleet.world.now < deadline)
    status = (await ask(node, "GET", "/v1/plan"))["status"] as number;
  if (status !== 200) return false;
  let put = 0;
  void load.proposeConfiguration({ version: load.nextVersion, spaces: [] }).then((got) => (put = got));
  return fleet.until(() => put === 200, 6000);
}

for (const who of ["leader", "follower"] as const)
  test(`a ${who} is drained, its disk goes and another is cut off: the store goes on`, async () => {
    const all = await startTestFleet(who === "leader" ? 201 : 202, machines(6));
    const { fleet, ask } = all;
    const [first, second, third] = voters(fleet);
    const leaving = who === "leader" ? fleet.leader! : [first, second, third].find((one) => one !== fleet.leader)!;
    expect((await ask(others(fleet, leaving)[0]!, "PUT", path(leaving)))["status"]).toEqual(200);
    expect(await emptied(all, leaving, others(fleet, leaving))).toEqual(true);
    fleet.removeForGood(leaving);
    const cut = [first, second, third].find((one) => one !== leaving)!;
    fleet.isolate(cut, fleet.names, "both");
    expect(await isServed(all, others(fleet, leaving, cut)[0]!)).toEqual(true);
  });

test("a drain is not over while the machine votes, and its leadership is handed on", async () => {
  const all = await startTestFleet(203, machines(6));
  const { fleet, ask } = all;
  const leaving = fleet.leader!;
  const standbys = others(fleet, ...voters(fleet));
  const [node] = others(fleet, leaving, ...standbys);
  // The standbys are there when the drain is asked for, and gone before one can vote.
  const { status } = await ask(node!, "PUT", path(leaving));
  for (const name of standbys) fleet.kill(name);
  await fleet.run(12_000);
  const progress = await ask(node!, "GET", path(leaving));
  expect([status, progress["status"], progress["isVoter"], progress["isEmpty"]]).toEqual([200, 200, true, false]);
  for (const name of standbys) fleet.revive(name);
  expect(await emptied(all, leaving, others(fleet, leaving))).toEqual(true);
  expect([voters(fleet).includes(leaving), fleet.leader === leaving]).toEqual([false, false]);
});

test("a drained machine is not taken in again while the wish stands, and is once it is undone", async () => {
  const all = await startTestFleet(204, machines(4));
  const { fleet, ask } = all;
  const leaving = voters(fleet)[0]!;
  expect((await ask(others(fleet, leaving)[0]!, "PUT", path(leaving)))["status"]).toEqual(200);
  expect(await emptied(all, leaving, others(fleet, leaving))).toEqual(true);
  const lost = voters(fleet).find((one) => one !== fleet.leader)!;
  fleet.kill(lost);
  await fleet.run(8000);
  expect(voters(fleet).includes(leaving)).toEqual(false);
  await ask(others(fleet, leaving)[0]!, "DELETE", path(leaving));
  expect(await fleet.until(() => voters(fleet).includes(leaving), 6000)).toEqual(true);
});

test("a drain that is over stays over while other voters are exchanged", async () => {
  const all = await startTestFleet(215, machines(6));
  const { fleet, ask } = all;
  const leaving = voters(fleet).find((one) => one !== fleet.leader)!;
  expect((await ask(others(fleet, leaving)[0]!, "PUT", path(leaving)))["status"]).toEqual(200);
  expect(await emptied(all, leaving, others(fleet, leaving))).toEqual(true);
  const before = voters(fleet);
  const lost = before.find((one) => one !== fleet.leader)!;
  fleet.kill(lost);
  const node = others(fleet, leaving, lost)[0]!;
  while (voters(fleet).includes(lost) || voters(fleet).length < 3) {
    const progress = await ask(node, "GET", path(leaving));
    if (progress["status"] === 200) expect(progress["isEmpty"]).toEqual(true);
  }
});

test("an order that was taken is acknowledged again: after another loss, and long after its machine left", async () => {
  const all = await startTestFleet(205, machines(4));
  const { fleet, ask } = all;
  const leaving = voters(fleet).find((one) => one !== fleet.leader)!;
  const order = async (node: string): Promise<unknown> => (await ask(node, "PUT", path(leaving)))["status"];
  const [first, second] = others(fleet, leaving);
  expect(await order(first!)).toEqual(200);
  expect(await emptied(all, leaving, others(fleet, leaving))).toEqual(true);
  fleet.kill(second!);
  await fleet.run(3000);
  expect(await order(first!)).toEqual(200);
  fleet.revive(second!);
  fleet.removeForGood(leaving);
  // Longer than the others remember it.
  await fleet.run(75_000);
  expect(fleet.find(first!)!.node.membership.find(leaving)).toEqual(undefined);
  for (const node of others(fleet, leaving)) {
    expect(await order(node)).toEqual(200);
    const progress = await ask(node, "GET", path(leaving));
    expect([progress["isAsked"], progress["isEmpty"]]).toEqual([true, true]);
  }
});

test("without enough machines an order is refused at once, and nothing is recorded", async () => {
  const all = await startTestFleet(206, machines(3));
  const { fleet, ask } = all;
  const refused = await ask("lathe-2", "PUT", path("lathe-1"));
  expect(refused["status"]).toEqual(409);
  expect((await ask("lathe-3", "GET", path("lathe-1")))["isAsked"]).toEqual(false);
  expect((await ask("lathe-3", "PUT", path("lathe-9")))["status"]).toEqual(404);
  expect(voters(fleet)).toEqual(["lathe-1", "lathe-2", "lathe-3"]);
});

test("where no majority answers an order is neither taken nor refused", async () => {
  const all = await startTestFleet(207, machines(3));
  const { fleet, ask } = all;
  for (const name of ["lathe-2", "lathe-3"]) fleet.isolate(name, fleet.names, "both");
  await fleet.run(2000);
  for (const name of ["lathe-1", "lathe-9"]) expect((await ask("lathe-1", "PUT", path(name)))["status"]).toEqual(503);
});

test("a node that lags behind the store refuses no drain, though it can ask the store", async () => {
  const all = await startTestFleet(216, machines(3));
  const { fleet, ask } = all;
  const node = voters(fleet).find((one) => one !== fleet.leader)!;
  fleet.wires.mutate = (_from, to, bytes) =>
    to === fleet.addressOf(node) && Wire.decode(bytes)?.body.case === "feedPush" ? [] : undefined;
  expect(await fleet.until(() => !fleet.find(node)!.node.feed.isFresh, 10_000)).toEqual(true);
  const leaving = others(fleet, node)[0]!;
  expect((await ask(node, "GET", path(leaving)))["status"]).toEqual(200);
  expect((await ask(node, "PUT", path(leaving)))["status"]).toEqual(503);
  fleet.wires.heal();
  expect(await fleet.until(() => fleet.find(node)!.node.feed.isFresh, 10_000)).toEqual(true);
  expect((await ask(node, "PUT", path(leaving)))["status"]).toEqual(409);
});

test("two orders at once, of which only one can be kept: one is taken; the same one twice is taken twice", async () => {
  for (const seed of [208, 209, 210, 211, 212, 213]) {
    const { fleet } = await startTestFleet(seed, machines(4));
    const nodes = others(fleet, fleet.leader!);
    const both = async (...names: [string, string]): Promise<unknown[]> => {
      const got: unknown[] = [];
      for (const [i, name] of names.entries())
        void fleet.port.call(nodes[i]!, "PUT", path(name), undefined).then(({ status }) => void got.push(status));
      expect(await fleet.until(() => got.length === names.length, 6000)).toEqual(true);
      return got.sort();
    };
    // The two machines of one zone: either may go.
    expect(await both("lathe-1", "lathe-4")).toEqual([200, 409]);
    const { metadata } = fleet.find(fleet.leader!)!.control!.raft!;
    const taken = metadata.range("machines/").map((kv) => kv.key.split("/")[1]!);
    expect(taken.length).toEqual(1);
    expect(await both(taken[0]!, taken[0]!)).toEqual([200, 200]);
  }
});

test("of many wishes the oldest are dropped whose machines are gone, and no other", async () => {
  const all = await startTestFleet(214, machines(4));
  const { fleet, ask } = all;
  const { store } = fleet.find("vise-1")!.node;
  const write = async (...names: string[]): Promise<void> => {
    let isDone = false;
    const puts = names.map((name) => ({ key: DrainKey.of(name), value: DrainKey.write() }));
    void store.txn({ puts }).then(({ outcome }) => (isDone = outcome === "done"));
    expect(await fleet.until(() => isDone, 3000)).toEqual(true);
  };
  // A machine that is there, then as many that have left as are kept.
  await write("vise-2");
  const gone = Array.from({ length: DrainMachine.maxRequests }, (_, i) => `gone-${i}`);
  await write(gone[0]!, gone[1]!);
  await write(...gone.slice(2));
  expect((await ask("lathe-2", "PUT", path("lathe-1")))["status"]).toEqual(200);
  const { metadata } = fleet.find(fleet.leader!)!.control!.raft!;
  const kept = metadata.range("machines/").map((kv) => kv.key.split("/")[1]!);
  expect(kept.length).toEqual(DrainMachine.maxRequests);
  expect(["vise-2", "lathe-1", gone[0]!, gone[1]!, gone[2]!].map((name) => kept.includes(name))).toEqual([
    true,
    true,
    false,
    false,
    true,
  ]);
});
