import { test } from "node:test";
import { Membership } from "@cranetrack/core/membership/membership.js";
import { expect } from "earl";
import type { Machine } from "../fleet/deployments.js";
import { startTestFleet } from "./testClient.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimConfigurations } from "./simConfigurations.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** So many machines with a disk: control nodes that store topic logs too. */
const machines = (disks: number, replicas = 3): Machine[] =>
  Scenario.machines(disks, 0, 2).map((one) => ({
    ...one,
    settings: one.role === "lathe" ? { stores: true, replicas } : { replicas },
  }));

type Reply = { status: number; paths: string[] };

async function put(fleet: SimFleet, version: number, spaces = SimConfigurations.usual()): Promise<Reply> {
  let reply: Reply | undefined;
  const body = documentTextOf(SimConfigurations.write(version, spaces, ["notes", "notices"]));
  void fleet.port.call("lathe-2", "PUT", "/v1/plan", body).then((got) => {
    const { problems = [] } = (got.body["error"] ?? {}) as { problems?: Array<{ path: string }> };
    reply = { status: got.status, paths: problems.map(({ path }) => path) };
  });
  expect(await fleet.until(() => reply !== undefined, 6000)).toEqual(true);
  return reply!;
}

async function withDisks(seed: number, count: number, replicas = 3): Promise<SimFleet> {
  const fleet = new SimFleet(seed, machines(count, replicas));
  fleet.startAll();
  expect(await fleet.until(() => fleet.leader !== undefined, 10_000)).toEqual(true);
  await fleet.run(6000);
  return fleet;
}

for (const [how, end] of [
  ["stopped", "stopGracefully"],
  ["killed", "kill"],
] as const)
  test(`a machine that was ${how} is still the fleet's: plans that ask for no more are accepted`, async () => {
    const { fleet, load } = await startTestFleet(end === "kill" ? 91 : 92, machines(3));
    fleet[end]("lathe-1");
    await fleet.run(3000);
    expect(await put(fleet, load.nextVersion)).toEqual({ status: 200, paths: [] });
    await fleet.run(Membership.removeAfterMs + 3000);
    expect(fleet.find("lathe-2")!.node.membership.find("lathe-1")).toEqual(undefined);
    expect(await put(fleet, load.nextVersion)).toEqual({ status: 200, paths: [] });
    const spaces = SimConfigurations.usual();
    spaces["notes"]![0]!.contract["fault_budget"] = { machines: 2 };
    const path = "spaces.0.program.0.owe.fault_budget.machines";
    expect(await put(fleet, load.nextVersion, spaces)).toEqual({ status: 503, paths: [path] });
  });

test("the first configuration rests on the replica sets, also while one of their machines is down", async () => {
  const fleet = await withDisks(93, 3);
  fleet.stopGracefully("lathe-1");
  await fleet.run(3000);
  expect(await put(fleet, 1)).toEqual({ status: 200, paths: [] });
});

test("a fleet that never had the machines is promised nothing", async () => {
  const fleet = await withDisks(94, 2);
  const paths = ["0.program.0.owe.fault_budget.machines", "1.program.0.owe.fault_budget.machines"];
  expect(await put(fleet, 1)).toEqual({
    status: 503,
    paths: [...paths, "1.program.0.owe.fault_budget.zones"].map((path) => `spaces.${path}`),
  });
});

test("two losses take five machines, and settings that ask for five replicas", async () => {
  const spaces = SimConfigurations.usual();
  spaces["notes"]![0]!.contract["fault_budget"] = { machines: 2 };
  const refused = { status: 503, paths: ["spaces.0.program.0.owe.fault_budget.machines"] };
  for (const [seed, disks, replicas, reply] of [
    [95, 5, 5, { status: 200, paths: [] }],
    [96, 4, 5, refused],
    [97, 5, 3, refused],
  ] as const) {
    const fleet = await withDisks(seed, disks, replicas);
    // Fewer machines than replicas are waited for a while, before smaller sets are named.
    await fleet.run(4000);
    expect(await put(fleet, 1, spaces)).toEqual({ ...reply, paths: [...reply.paths] });
    expect(fleet.find("vise-1")!.node.shards.find(0).set!.members.length).toEqual(Math.min(disks, replicas));
  }
});

test("status says that two more losses could not be survived once one of five replicas is gone", async () => {
  const fleet = await withDisks(98, 5, 5);
  const spaces = SimConfigurations.usual();
  spaces["notes"]![0]!.contract["fault_budget"] = { machines: 2 };
  expect((await put(fleet, 1, spaces)).status).toEqual(200);
  const risks = async (): Promise<string[]> => {
    let status: Record<string, unknown> | undefined;
    void fleet.port.call("vise-1", "GET", "/v1/status", undefined).then((got) => (status = got.body));
    expect(await fleet.until(() => status !== undefined, 6000)).toEqual(true);
    return (status!["risks"] as Array<{ space: string; budget: string }>).map((one) => `${one.space} ${one.budget}`);
  };
  expect(await risks()).toEqual([]);
  fleet.kill("lathe-5");
  await fleet.run(3000);
  // The other space allows for one machine, which the four outlive, and for one zone; two of the four share one.
  expect(await risks()).toEqual(["notes machines", "notices zones"]);
});
