import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

async function founded(seed: number): Promise<{ fleet: SimFleet; load: SimLoad; controlNodes: string[] }> {
  const fleet = new SimFleet(seed, Scenario.machines(3, 3, 1));
  for (const name of fleet.names) fleet.configure(name, { replaceVoterMs: 60_000 });
  const load = new SimLoad(fleet);
  expect(await load.start(0)).toEqual(true);
  return { fleet, load, controlNodes: fleet.withRole("lathe") };
}

async function resultOf<T>(fleet: SimFleet, asked: Promise<T>, timeoutMs = 30_000): Promise<T> {
  let got: { value: T } | undefined;
  void asked.then((value) => (got = { value }));
  expect(await fleet.until(() => got !== undefined, timeoutMs)).toEqual(true);
  return got!.value;
}

/** Puts so many configurations, one after the other; returns the last one's version. */
async function change(fleet: SimFleet, load: SimLoad, count: number): Promise<number> {
  let version = 0;
  for (let i = 0; i < count; i += 1) {
    version = load.nextVersion;
    expect(await resultOf(fleet, load.proposeConfiguration(SimLoad.configuration(version)))).toEqual(200);
  }
  return version;
}

const versionAt = async (fleet: SimFleet, node: string): Promise<unknown> => {
  const { status, body } = await resultOf(fleet, fleet.port.call(node, "GET", "/v1/plan", undefined), 8000);
  return status === 200 ? (JSON.parse(String(body["raw"])) as { mark: number }).mark : status;
};

test("a restarted member with old state never leads, and serves nothing older than the others did", async () => {
  for (const seed of [701, 702, 703]) {
    const { fleet, load, controlNodes } = await founded(seed);
    const old = controlNodes.find((name) => name !== fleet.leader)!;
    fleet.kill(old);
    const version = await change(fleet, load, 5);
    const [current, other] = controlNodes.filter((name) => name !== old) as [string, string];
    fleet.kill(current);
    fleet.kill(other);
    // The old one starts first and asks for votes before the one that has everything.
    fleet.start(old);
    await fleet.run(1500);
    fleet.start(current);
    expect(await fleet.until(() => fleet.leader !== undefined, 15_000)).toEqual(true);
    expect(fleet.leader).toEqual(current);
    expect(await fleet.until(() => fleet.find(old)!.control!.raft!.isInTouch, 5000)).toEqual(true);
    expect(await versionAt(fleet, old)).toEqual(version);
  }
});

test("a blank disk has no vote of the member it was, so old state on one disk is no majority with it", async () => {
  const { fleet, load, controlNodes } = await founded(711);
  const old = controlNodes.find((name) => name !== fleet.leader)!;
  fleet.kill(old);
  await change(fleet, load, 5);
  const [blank, other] = controlNodes.filter((name) => name !== old) as [string, string];
  fleet.wipe(blank);
  fleet.kill(other);
  fleet.start(old);
  fleet.start(blank);
  for (let i = 0; i < 200; i += 1) {
    await fleet.run(50);
    expect(controlNodes.some((name) => fleet.find(name)?.control?.raft?.isLeader === true)).toEqual(false);
  }
});

test("who was elected serves nothing before an entry of its own term is committed", async () => {
  const { fleet, load, controlNodes } = await founded(721);
  const version = await change(fleet, load, 2);
  fleet.wires.mutate = (_from, _to, bytes) => (Wire.decode(bytes)?.body.case === "appendReply" ? [] : undefined);
  const alive = controlNodes.filter((name) => name !== fleet.leader);
  fleet.kill(fleet.leader!);
  let wasElected = false;
  for (let i = 0; i < 80; i += 1) {
    await fleet.run(50);
    const rafts = alive.map((name) => fleet.find(name)!.control!.raft!);
    wasElected ||= rafts.some((raft) => raft.leaderName !== "");
    expect(rafts.some((raft) => raft.isLeader)).toEqual(false);
  }
  expect(wasElected).toEqual(true);
  expect([503, 504, 0]).toInclude((await versionAt(fleet, alive[0]!)) as number);
  fleet.wires.heal();
  expect(await fleet.until(() => fleet.leader !== undefined, 10_000)).toEqual(true);
  expect(await versionAt(fleet, alive[0]!)).toEqual(version);
});
