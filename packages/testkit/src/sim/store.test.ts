import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { proposeConfiguration } from "@cranetrack/control/configuration/proposeConfiguration.js";
import { readDocument } from "@cranetrack/control/configuration/readDocument.js";
import { expect } from "earl";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

type Rollout = { taken: number; of: number; nodes: Array<{ name: string; hasTakenUp: boolean; why?: string }> };

const controlNodes = (fleet: SimFleet): string[] => fleet.withRole("lathe");
const leader = (fleet: SimFleet): string | undefined =>
  controlNodes(fleet).find(
    (name) =>
      fleet.find(name)?.control?.raft?.isLeader === true &&
      fleet.find(name)!.processState.pausedUntil <= fleet.world.now,
  );

async function founded(seed: number, machines = Scenario.machines(5)): Promise<{ fleet: SimFleet; load: SimLoad }> {
  const fleet = new SimFleet(seed, machines);
  const load = new SimLoad(fleet);
  expect(await load.start(0)).toEqual(true);
  return { fleet, load };
}

async function resultOf<T>(fleet: SimFleet, asked: Promise<T>): Promise<T> {
  let got: { value: T } | undefined;
  void asked.then((value) => (got = { value }));
  expect(await fleet.until(() => got !== undefined, 30_000)).toEqual(true);
  return got!.value;
}

test(
  "founding waits for every expected lathe, says what is missing, and goes on when the last " + "one is there",
  async () => {
    const fleet = new SimFleet(21, Scenario.machines(5));
    for (const name of fleet.names.filter((one) => one !== "lathe-4")) fleet.start(name);
    await fleet.run(8000);
    expect(controlNodes(fleet).some((name) => fleet.find(name)?.control?.raft !== undefined)).toEqual(false);
    expect(fleet.find("lathe-1")!.control!.founding.waitingFor).toEqual(expect.includes("4 of 5 blank lathes"));
    fleet.start("lathe-4");
    expect(await fleet.until(() => leader(fleet) !== undefined, 8000)).toEqual(true);
    expect(new Set(controlNodes(fleet).map((name) => fleet.find(name)!.control!.founding.foundingId)).size).toEqual(1);
  },
);

test(
  "a founded lathe vetoes another founding: blank ones join the old store as new members and " + "read its plan",
  async () => {
    const { fleet, load } = await founded(22);
    for (const name of ["lathe-1", "lathe-2"]) fleet.wipe(name);
    await fleet.run(1000);
    for (const name of ["lathe-1", "lathe-2"]) fleet.start(name);
    const fresh = ["lathe-1", "lathe-2"].map((name) => fleet.find(name)!.control!.founding.diskId);
    const voters = (): string[] =>
      leader(fleet) === undefined ? [] : fleet.find(leader(fleet)!)!.control!.raft!.members.voters.map((one) => one.id);
    expect(
      await fleet.until(() => voters().length === 5 && fresh.every((id) => voters().includes(id)), 20_000),
    ).toEqual(true);
    await load.readConfiguration();
    expect(load.history.events.at(-1)?.kind).toEqual("planRead");
  },
);

test("with most disks lost nothing is founded afresh: the last one remembers, and says so", async () => {
  const { fleet } = await founded(23);
  for (const name of ["lathe-1", "lathe-2", "lathe-3", "lathe-4"]) fleet.wipe(name);
  await fleet.run(500);
  for (const name of ["lathe-1", "lathe-2", "lathe-3", "lathe-4"]) fleet.start(name);
  await fleet.run(15_000);
  expect(controlNodes(fleet).filter((name) => fleet.find(name)!.control!.raft !== undefined)).toEqual(["lathe-5"]);
  expect(fleet.find("lathe-1")!.control!.founding.waitingFor).toEqual(expect.includes("lathe-5"));
  expect(leader(fleet)).toEqual(undefined);
});

test(
  "a cut-off proposer gives up: the others elect, and what it was asked meanwhile is never " + "answered as done",
  async () => {
    const { fleet, load } = await founded(24);
    const old = leader(fleet)!;
    const others = fleet.names.filter((name) => name !== old);
    fleet.isolate(old, others, "both");
    const asked = resultOf(
      fleet,
      fleet.port.call(old, "PUT", "/v1/plan", documentTextOf(SimLoad.configuration(50, ["notes"]))),
    );
    const answer = await asked;
    expect([503, 504].includes(answer.status)).toEqual(true);
    expect(
      await fleet.until(
        () => controlNodes(fleet).some((name) => name !== old && fleet.find(name)!.control!.raft!.isLeader),
        6000,
      ),
    ).toEqual(true);
    expect(fleet.find(old)!.control!.raft!.isInTouch).toEqual(false);
    const next = load.nextVersion;
    expect(await resultOf(fleet, load.proposeConfiguration({ ...SimLoad.configuration(next), version: next }))).toEqual(
      200,
    );
    fleet.wires.heal();
    await fleet.run(3000);
    expect(
      JSON.parse(String((await resultOf(fleet, fleet.port.call(old, "GET", "/v1/plan", undefined))).body["raw"])).mark,
    ).toEqual(next);
  },
);

test("a frozen leader reads nothing stale when it wakes", async () => {
  const { fleet, load } = await founded(25);
  const old = leader(fleet)!;
  fleet.pause(old, 6000);
  await fleet.until(() => leader(fleet) !== undefined && leader(fleet) !== old, 5000);
  const version = load.nextVersion;
  const asked = resultOf(fleet, fleet.port.call(old, "GET", "/v1/plan", undefined));
  const other = leader(fleet)!;
  let status = 0;
  void fleet.port
    .call(other, "PUT", "/v1/plan", documentTextOf(SimLoad.configuration(version)))
    .then((reply) => (status = reply.status));
  await fleet.until(() => status !== 0, 4000);
  expect(status).toEqual(200);
  const read = await asked;
  if (read.status === 200) expect(JSON.parse(String(read.body["raw"])).mark).toEqual(version);
  else expect([0, 503].includes(read.status)).toEqual(true);
});

test(
  "two operators under one mark: exactly one wins, the same plan again gets the same " +
    "receipt, stale and broken ones change nothing",
  async () => {
    const { fleet } = await founded(26);
    const put = (node: string, configuration: unknown): Promise<{ status: number; body: Record<string, unknown> }> =>
      fleet.port.call(
        node,
        "PUT",
        "/v1/plan",
        typeof configuration === "string" ? configuration : documentTextOf(configuration),
      );
    const rivals = await resultOf(
      fleet,
      Promise.all([
        put("lathe-1", SimLoad.configuration(7, ["notes"])),
        put("vise-2", SimLoad.configuration(7, ["notices"])),
        put("anvil-1", SimLoad.configuration(7, ["extra"])),
      ]),
    );
    expect(rivals.map((reply) => reply.status).sort()).toEqual([200, 409, 409]);
    const won = rivals.findIndex((reply) => reply.status === 200);
    const again = await resultOf(
      fleet,
      put("lathe-2", SimLoad.configuration(7, [["notes"], ["notices"], ["extra"]][won])),
    );
    expect([again.status, again.body["revision"]]).toEqual([200, rivals[won]!.body["revision"]]);
    const stale = await resultOf(fleet, put("lathe-3", SimLoad.configuration(6)));
    expect([stale.status, (stale.body["error"] as { markInForce: number }).markInForce]).toEqual([409, 7]);
    const broken = await resultOf(
      fleet,
      put("vise-1", {
        mark: 8,
        spaces: [{ name: "x", program: [{ when: {}, owe: { keep: -1, order: "sender", fault_budget: {} } }] }],
        more: true,
      }),
    );
    const { problems } = broken.body["error"] as { problems: Array<{ path: string }> };
    expect([broken.status, problems.map((one) => one.path).sort()]).toEqual([
      422,
      ["more", "spaces.0.program.0.owe.keep"],
    ]);
    expect((await resultOf(fleet, put("vise-1", "{"))).status).toEqual(400);
    const unkept = await resultOf(
      fleet,
      put("vise-1", {
        mark: 9,
        spaces: [{ name: "x", program: [{ when: {}, owe: { keep: 1, order: "one", fault_budget: { machines: 2 } } }] }],
      }),
    );
    expect((unkept.body["error"] as { problems: Array<{ path: string }> }).problems[0]!.path).toEqual(
      "spaces.0.program.0.owe.fault_budget.machines",
    );
    const read = await resultOf(fleet, fleet.port.call("vise-3", "GET", "/v1/plan", undefined));
    expect(read.body["raw"]).toEqual(
      documentTextOf(SimLoad.configuration(7, [["notes"], ["notices"], ["extra"]][won])),
    );
  },
);

test("a rollout counts every node, names the one that is cut off, and is whole again when it is back", async () => {
  const { fleet, load } = await founded(27);
  const rollout = async (): Promise<Rollout> =>
    (await resultOf(fleet, fleet.port.call("lathe-1", "GET", "/v1/plan/rollout", undefined))).body as Rollout;
  fleet.isolate("vise-2", fleet.names, "both");
  await fleet.run(500);
  const version = load.nextVersion;
  expect(await resultOf(fleet, load.proposeConfiguration({ ...SimLoad.configuration(version), version }))).toEqual(200);
  await fleet.run(3000);
  const cut = await rollout();
  expect(cut.nodes.filter((node) => !node.hasTakenUp).map((node) => node.name)).toEqual(["vise-2"]);
  fleet.wires.heal();
  await fleet.run(3000);
  const whole = await rollout();
  expect([whole.taken, whole.of]).toEqual([11, 11]);
});

test("a damaged data folder stops a process with its reason, and the fleet goes on without it", async () => {
  const { fleet } = await founded(28);
  await fleet.run(4000);
  for (const [name, prefix] of [
    ["lathe-1", "store/e"],
    ["anvil-1", "shard"],
  ] as const) {
    fleet.kill(name);
    expect(fleet.diskOf(name).corrupt(prefix)).toEqual(true);
    expect(fleet.start(name).startFailure).toEqual(expect.includes("damaged at"));
    fleet.kill(name);
  }
  await fleet.run(4000);
  expect(leader(fleet) !== undefined).toEqual(true);
});

test("a first snapshot that takes longer than the looks at the feed still arrives", async () => {
  const { fleet } = await founded(29, Scenario.machines());
  fleet.kill("vise-1");
  fleet.wires.extraLatencyMs.set(fleet.addressOf("vise-1"), 1500);
  await fleet.run(1000);
  const { feed } = fleet.start("vise-1").node;
  expect(await fleet.until(() => feed.revision > 0, 6000)).toEqual(true);
});

test("a leader that was cut off a moment ago answers no read it cannot confirm", async () => {
  const { fleet } = await founded(30);
  const old = leader(fleet)!;
  fleet.isolate(old, fleet.names, "both");
  await fleet.run(50);
  const { raft } = fleet.find(old)!.control!;
  expect(raft!.isLeader).toEqual(true);
  expect(await resultOf(fleet, raft!.confirm())).toEqual(false);
  expect((await resultOf(fleet, fleet.port.call(old, "GET", "/v1/plan", undefined))).status).toEqual(503);
});

test("after freezes, everybody reaches everybody directly again and every node has its feed", async () => {
  const { fleet } = await founded(40, Scenario.machines());
  for (const name of ["lathe-1", "anvil-3", "lathe-3", "vise-1", "lathe-2"]) {
    fleet.pause(name, 4000);
    await fleet.run(5500);
  }
  await fleet.run(3000);
  const unresponsive = fleet.names.flatMap((name) =>
    fleet.names
      .filter((other) => fleet.find(name)!.node.rpc.isUnresponsive(other))
      .map((other) => `${name} to ${other}`),
  );
  expect(unresponsive).toEqual([]);
  expect(fleet.names.filter((name) => !fleet.find(name)!.node.feed.isFresh)).toEqual([]);
});

const leasesLost = (fleet: SimFleet): number =>
  [...fleet.withRole("anvil"), ...fleet.withRole("vise")].reduce((sum, name) => {
    const incarnation = fleet.find(name)!;
    const status = (incarnation.storage ?? incarnation.edge)!.status() as { leasesLost: number };
    return sum + status.leasesLost;
  }, 0);

for (const [what, fail] of [
  ["hears nobody any more", (fleet: SimFleet, name: string) => fleet.isolate(name, fleet.names, "in")],
  ["turned slow", (fleet: SimFleet, name: string) => fleet.wires.extraLatencyMs.set(fleet.addressOf(name), 350)],
] as const) {
  test(`a proposer that ${what} gives way, and nobody loses a lease over it`, async () => {
    const { fleet } = await founded(61);
    const old = fleet.leader!;
    const before = leasesLost(fleet);
    const failedAt = fleet.world.now;
    fail(fleet, old);
    expect(await fleet.until(() => fleet.leader !== undefined && fleet.leader !== old, 3000)).toEqual(true);
    if (what === "hears nobody any more") expect(fleet.world.now - failedAt < 900).toEqual(true);
    await fleet.run(6000);
    expect(fleet.leader === old).toEqual(false);
    expect(leasesLost(fleet)).toEqual(before);
  });
}

test("the word of a leader that gives up goes round where it is slow, and nothing older undoes it", async () => {
  const { fleet } = await founded(62);
  const old = fleet.leader!;
  const { voters } = fleet.find(old)!.control!.raft!.members;
  const first = voters.map(({ name }) => name).find((name) => name !== old);
  const delays: Record<string, number> = { append: 120, yield: 400 };
  fleet.wires.mutate = (from, to, bytes) => {
    const delay = delays[Wire.decode(bytes)?.body.case ?? ""];
    const isSlow = from === fleet.addressOf(old) && to !== fleet.addressOf(first!);
    return isSlow && delay !== undefined ? [{ bytes, delay }] : undefined;
  };
  await fleet.run(1000);
  expect(fleet.leader).toEqual(old);
  fleet.find(old)!.control!.raft!.resign();
  expect(await fleet.until(() => fleet.leader !== undefined, 300)).toEqual(true);
  expect(fleet.leader === old).toEqual(false);
});

test(
  "a control node that proposes itself carries on what it had passed on before; no other " + "keeps it waiting",
  async () => {
    const { fleet } = await founded(63);
    const old = fleet.leader!;
    fleet.wires.mutate = (from, _to, bytes) =>
      from === fleet.addressOf(old) && Wire.decode(bytes)?.body.case === "storeBatchReply" ? [] : undefined;
    const others = controlNodes(fleet).filter((name) => name !== old);
    const answered = new Map<string, string | undefined>();
    for (const name of others)
      void fleet
        .find("vise-1")!
        .node.rpc.call(name, { case: "storeCall", value: { call: { case: "renew", value: { lease: "none" } } } }, 2000)
        .then((body) => answered.set(name, body?.case === "storeReply" ? body.value.outcome : undefined));
    await fleet.run(50);
    fleet.find(old)!.control!.raft!.resign();
    expect(await fleet.until(() => fleet.leader !== undefined, 400)).toEqual(true);
    await fleet.run(100);
    expect(answered.get(fleet.leader!)).toEqual("lost");
    // Those that heard of the new leader before its first entry was committed send their callers round again.
    expect(others.filter((name) => answered.get(name) === undefined)).toEqual([]);
  },
);

test(
  "the operators' document goes with its configuration, and a stale version leaves both; " + "versions may leap",
  async () => {
    const { fleet } = await founded(41);
    const body = (version: number, spaces?: readonly string[]): Uint8Array =>
      Buffer.from(documentTextOf(SimLoad.configuration(version, spaces)));
    const put = async (name: string, configuration: Uint8Array, document?: Uint8Array): Promise<number> =>
      (await resultOf(fleet, proposeConfiguration(fleet.find(name)!.node, configuration, document))).status;
    const read = async (name = "lathe-3"): Promise<string> => {
      const got = await resultOf(fleet, readDocument(fleet.find(name)!.node));
      return got.outcome === "done" ? Buffer.from(got.document).toString("latin1") : got.outcome;
    };
    const versionOf = async (): Promise<number> => {
      const { body: got } = await resultOf(fleet, fleet.port.call("lathe-2", "GET", "/v1/plan", undefined));
      return (JSON.parse(String(got["raw"])) as { mark: number }).mark;
    };
    expect(await read()).toEqual("none");
    const document = Uint8Array.from({ length: 300 }, (_, i) => i % 256);
    expect(await put("lathe-1", body(4000), document)).toEqual(200);
    expect(await read()).toEqual(Buffer.from(document).toString("latin1"));
    expect(await put("lathe-2", body(4000), document)).toEqual(200);
    expect(await put("lathe-2", body(4000), Buffer.from("other"))).toEqual(409);
    expect(await put("lathe-2", body(3999))).toEqual(409);
    expect(await put("lathe-2", body(3999), Buffer.from("older"))).toEqual(200);
    expect(await put("lathe-1", body(3999), Buffer.from("older, but other"))).toEqual(409);
    expect(await put("lathe-2", Buffer.from('{"mark":5000}'), Buffer.from("broken"))).toEqual(422);
    expect([await versionOf(), await read()]).toEqual([4000, Buffer.from(document).toString("latin1")]);
    // Two operators with one configuration and different documents: one wins with its own.
    const rivals = ["lathe-4", "lathe-5"];
    const statuses = await resultOf(
      fleet,
      Promise.all(
        rivals.map((name) => proposeConfiguration(fleet.find(name)!.node, body(9_000_000), Buffer.from(name))),
      ),
    );
    expect(statuses.map(({ status }) => status).sort()).toEqual([200, 409]);
    expect(await read()).toEqual(rivals[statuses.findIndex(({ status }) => status === 200)]!);
    // No node is pushed a document, and a configuration without one leaves none.
    const keys = fleet.names.flatMap((name) => fleet.find(name)!.node.journal.recent.map((change) => change.key));
    expect(keys.filter((key) => key.startsWith("documents/"))).toEqual([]);
    expect(await put("lathe-1", body(9_000_001))).toEqual(200);
    expect([await versionOf(), await read()]).toEqual([9_000_001, "none"]);
  },
);
