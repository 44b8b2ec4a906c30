import { test } from "node:test";
import { Wire } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { Checker } from "../checker/checker.js";
import { TestClient, startTestFleet, type Line, type TestFleet } from "./testClient.js";
import { Scenario } from "./scenario.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

const placeOf = (client: TestClient, topic: string): string =>
  String([...client.lines].reverse().find((line) => line["topic"] === topic && line["place"] !== undefined)!["place"]);

const isKind = (bytes: Uint8Array, ...kinds: string[]): boolean => kinds.includes(Wire.decode(bytes)?.body.case ?? "");

async function connectSession(
  { fleet }: TestFleet,
  node: string,
  session: string,
  topics: readonly string[],
): Promise<TestClient> {
  const client = new TestClient(fleet, node, session, { subscriptions: topics.map((topic) => ({ topic })) });
  const isConnected = (): boolean =>
    client.linesOf("open").length > 0 && client.linesOf("confirmed").length === topics.length;
  expect(await fleet.until(isConnected, 5000)).toEqual(true);
  return client;
}

test("a space of one order has it over all its topics, whoever holds what, through a change of leader", async () => {
  const fleet = new SimFleet(51, Scenario.machines());
  const load = new SimLoad(fleet);
  expect(await load.start(12)).toEqual(true);
  // Both senders at once, on different topics; what one edge hears of a machine comes later than elsewhere.
  for (let round = 0; round < 80; round += 1) {
    if (round % 20 === 0) fleet.wires.extraLatencyMs.clear();
    if (round % 20 === 0)
      fleet.wires.extraLatencyMs.set(fleet.addressOf(fleet.withRole("anvil")[(round / 20) % 3]!), 60);
    if (round === 40) fleet.kill(fleet.shardLeader!);
    for (const [i, sender] of load.clients.slice(0, 2).entries())
      void sender.publish(`notices/t${(round + i) % 3}`, `round ${round} of ${sender.session}`);
    await fleet.run(40);
  }
  fleet.wires.heal();
  for (const name of fleet.names) fleet.revive(name);
  expect(await load.finishPublishes()).toEqual(true);
  const got = load.history.events.filter((one) => one.kind === "received" && one.topic.startsWith("notices/"));
  expect(got.length > 600).toEqual(true);
  expect(Checker.check(load.history.events, fleet.world.now).map((breach) => breach.rule)).toEqual([]);
});

test(
  "a connection that resumes with several places in a stream reads from the lowest and " + "skips what each had",
  async () => {
    const all = await startTestFleet(52);
    const { fleet, publish } = all;
    const reader = await connectSession(all, "vise-1", "desk", ["notices/t0", "notices/t1"]);
    await connectSession(all, "vise-2", "sender-1", []);
    const say = async (number: number, topic: string): Promise<void> => {
      expect((await publish("sender-1", number, "vise-2", topic))["receipt"]).toEqual("accepted");
    };
    await say(1, "notices/t0");
    await say(1, "notices/t1");
    await say(2, "notices/t0");
    expect(await fleet.until(() => reader.deliveries().length === 3, 3000)).toEqual(true);
    reader.close();
    await say(3, "notices/t0");
    await say(2, "notices/t1");
    await say(4, "notices/t0");
    const subscriptions = ["notices/t0", "notices/t1"].map((topic) => ({ topic, after: placeOf(reader, topic) }));
    const again = new TestClient(fleet, "vise-3", "desk", { subscriptions });
    expect(await fleet.until(() => again.deliveries().length === 3, 4000)).toEqual(true);
    await fleet.run(1000);
    expect(again.deliveries()).toEqual(["notices/t0 3", "notices/t1 2", "notices/t0 4"]);
  },
);

test("a quiet topic's place in a busy space outlives the trimming of the others; only theirs expires", async () => {
  const all = await startTestFleet(53);
  const { fleet, publish } = all;
  await all.configuration(["notes", "notices", "extra"], (spaces) => {
    spaces["extra"]![0]!.contract["keep"] = 46;
  });
  const reader = await connectSession(all, "vise-1", "desk", ["extra/t0", "extra/t1"]);
  await connectSession(all, "vise-2", "pen", []);
  expect((await publish("pen", 1, "vise-2", "extra/t0"))["receipt"]).toEqual("accepted");
  expect((await publish("pen", 1, "vise-2", "extra/t1"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => reader.deliveries().length === 2, 3000)).toEqual(true);
  reader.close();
  const subscriptions = ["extra/t0", "extra/t1"].map((topic) => ({ topic, after: placeOf(reader, topic) }));
  for (let number = 2; number <= 5; number += 1) await publish("pen", number, "vise-2", "extra/t0");
  await fleet.run(70_000);
  const again = new TestClient(fleet, "vise-3", "desk", { subscriptions });
  expect(await fleet.until(() => again.linesOf("confirmed").length === 2, 5000)).toEqual(true);
  expect(again.linesOf("expired").map((line) => line["topic"])).toEqual(["extra/t0"]);
  await publish("pen", 6, "vise-2", "extra/t0");
  await publish("pen", 2, "vise-2", "extra/t1");
  expect(await fleet.until(() => again.deliveries().length === 2, 3000)).toEqual(true);
  expect(again.deliveries()).toEqual(["extra/t0 6", "extra/t1 2"]);
});

test("a place that is ahead of what an edge has heard is no unknown place: the leader is asked", async () => {
  const all = await startTestFleet(54);
  const { fleet, publish } = all;
  const here = await connectSession(all, "vise-1", "desk", ["notes/t1"]);
  const there = await connectSession(all, "vise-2", "other", ["notes/t1"]);
  // From now on the second edge hears nothing of the topic any more: no push, and no look at what it missed.
  const late = fleet.addressOf("vise-2");
  fleet.wires.mutate = (_from, to, bytes) => (to === late && isKind(bytes, "push", "followReply") ? [] : undefined);
  for (let number = 1; number <= 3; number += 1) expect((await publish("desk", number))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => here.deliveries().length === 3, 2000)).toEqual(true);
  expect(there.deliveries()).toEqual([]);
  const subscriptions = [{ topic: "notes/t1", after: placeOf(here, "notes/t1") }];
  const moved = new TestClient(fleet, "vise-2", "desk", { subscriptions });
  expect(await fleet.until(() => moved.linesOf("confirmed").length + moved.linesOf("fault").length > 0, 3000)).toEqual(
    true,
  );
  expect(moved.linesOf("fault")).toEqual([]);
  fleet.wires.heal();
  expect((await publish("desk", 4, "vise-2"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => moved.deliveries().length === 1 && there.deliveries().length === 4, 4000)).toEqual(
    true,
  );
  expect(moved.deliveries("notes/t1")).toEqual([4]);
});

// Guards against LOST and ORDER (issue 42): what was kept was dropped with the space, and numbers taken came again.
for (const isSeen of [true, false])
  test(`a removed space is made again and its topics go on (${isSeen ? "seen" : "unseen"} by leaders)`, async () => {
    const all = await startTestFleet(55);
    const { fleet, publish } = all;
    const reader = await connectSession(all, "vise-1", "desk", ["notes/t1"]);
    expect((await publish("desk", 1))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => reader.deliveries().length === 1, 2000)).toEqual(true);
    const before = placeOf(reader, "notes/t1");
    expect((await publish("desk", 2))["receipt"]).toEqual("accepted");
    reader.close();
    const sleepers = isSeen ? [] : fleet.withRole("anvil");
    for (const name of sleepers) fleet.kill(name);
    await fleet.run(1500);
    expect((await all.configuration(["notices"]))["status"]).toEqual(200);
    await fleet.run(isSeen ? 20_000 : 300);
    expect((await all.configuration(["notes", "notices"]))["status"]).toEqual(200);
    for (const name of sleepers) fleet.revive(name);
    await fleet.run(6000);
    const again = new TestClient(fleet, "vise-2", "desk", { subscriptions: [{ topic: "notes/t1", after: before }] });
    expect(await fleet.until(() => again.linesOf("confirmed").length === 1, 5000)).toEqual(true);
    expect(again.linesOf("expired")).toEqual([]);
    expect(await fleet.until(() => again.deliveries().length === 1, 2000)).toEqual(true);
    // A number that was taken is not taken a second time.
    expect((await publish("desk", 2, "vise-2"))["receipt"]).toEqual("accepted");
    expect((await publish("desk", 3, "vise-2"))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => again.deliveries().length >= 2, 2000)).toEqual(true);
    expect(again.deliveries("notes/t1")).toEqual([2, 3]);
  });

test("rules of a space with different orders, and a changed order of a living space, are 422 with paths", async () => {
  const all = await startTestFleet(56);
  const pathsOf = ({ error }: Line): unknown[] =>
    (error as { problems: Array<{ path: string }> }).problems.map((one) => one.path);
  const mixed = await all.configuration(["notes", "notices"], (spaces) => {
    spaces["notes"]!.push({ contract: { keep: 60, order: "one", fault_budget: {} }, ...{ when: {} } });
  });
  expect([mixed["status"], pathsOf(mixed)]).toEqual([422, ["spaces.0.program.1.owe.order"]]);
  const turned = await all.configuration(["notes", "notices"], (spaces) => {
    spaces["notices"]![0]!.contract["order"] = "sender";
  });
  expect([turned["status"], pathsOf(turned)]).toEqual([422, ["spaces.1.program.0.owe.order"]]);
  const inForce = await all.ask("vise-1", "GET", "/v1/plan");
  expect(JSON.parse(String(inForce["raw"]))).toEqual(JSON.parse(documentTextOf(SimLoad.configuration(1))));
  // Removed and made again it may have another.
  expect((await all.configuration(["notes"]))["status"]).toEqual(200);
  const made = await all.configuration(["notes", "notices"], (spaces) => {
    spaces["notices"]![0]!.contract["order"] = "sender";
  });
  expect(made["status"]).toEqual(200);
});

test("an edge that has not heard of a space waits, then answers 503; 404 only where the store knows none", async () => {
  const all = await startTestFleet(57);
  const { fleet, ask } = all;
  await all.configuration(["notes", "notices"]);
  await fleet.run(1000);
  await connectSession(all, "vise-1", "desk", []);
  const deaf = fleet.addressOf("vise-1");
  fleet.wires.mutate = (_from, to, bytes) => (to === deaf && isKind(bytes, "feedPush") ? [] : undefined);
  expect((await all.configuration(["notes", "notices", "extra"]))["status"]).toEqual(200);
  const askedAt = fleet.world.now;
  const body = JSON.stringify({ topic: "extra/t0", number: 1, payload: "x" });
  const early = await ask("vise-1", "POST", "/v1/sessions/desk/messages", body);
  expect([early["status"], Number(early["retryAfterSeconds"]) > 0]).toEqual([503, true]);
  const asked = await ask("vise-1", "POST", "/v1/sessions/desk/subscriptions", JSON.stringify({ topic: "extra/t0" }));
  expect([asked["status"], Number(asked["retryAfterSeconds"]) > 0]).toEqual([503, true]);
  expect(fleet.world.now - askedAt < 1000).toEqual(true);
  const unknown = JSON.stringify({ topic: "nowhere/t0", number: 1, payload: "x" });
  expect((await ask("vise-1", "POST", "/v1/sessions/desk/messages", unknown))["status"]).toEqual(404);
  fleet.wires.heal();
  expect(
    await fleet.until(() => fleet.find("vise-1")!.node.configuration.route("extra/t0") !== undefined, 4000),
  ).toEqual(true);
  expect((await ask("vise-1", "POST", "/v1/sessions/desk/messages", body))["receipt"]).toEqual("accepted");
});

// Guards against refusals that a version costs (issue 38): edges that heard of it late refused at once.
test("what is asked of an edge that hears of a space a moment later is done, not refused", async () => {
  const all = await startTestFleet(80);
  const { fleet, ask } = all;
  await all.configuration(["notes", "notices"]);
  await fleet.run(1000);
  await connectSession(all, "vise-1", "desk", []);
  const slow = fleet.addressOf("vise-1");
  fleet.wires.mutate = (_from, to, bytes) =>
    to === slow && isKind(bytes, "feedPush") ? [{ bytes, delay: 150 }] : undefined;
  expect((await all.configuration(["notes", "notices", "extra"]))["status"]).toEqual(200);
  expect(fleet.find("vise-1")!.node.configuration.route("extra/t0")).toEqual(undefined);
  const body = JSON.stringify({ topic: "extra/t0", number: 1, payload: "x" });
  const path = "/v1/sessions/desk/subscriptions";
  const [published, subscribed] = await Promise.all([
    ask("vise-1", "POST", "/v1/sessions/desk/messages", body),
    ask("vise-1", "POST", path, JSON.stringify({ topic: "extra/t0" })),
  ]);
  expect([published["status"], subscribed["status"]]).toEqual([200, 200]);
});

test("an edge that missed more than a push may carry gets all of it without anybody's next message", async () => {
  const all = await startTestFleet(58);
  const { fleet, publish } = all;
  const reader = await connectSession(all, "vise-1", "desk", ["notes/t1"]);
  await connectSession(all, "vise-2", "pen", []);
  const late = fleet.addressOf("vise-1");
  fleet.wires.mutate = (_from, to, bytes) => (to === late && isKind(bytes, "push", "followReply") ? [] : undefined);
  for (let number = 1; number <= 350; number += 1)
    expect((await publish("pen", number, "vise-2"))["receipt"]).toEqual("accepted");
  fleet.wires.heal();
  expect(await fleet.until(() => reader.deliveries().length === 350, 3000)).toEqual(true);
});

test("places of another space, stream or incarnation, or made up, get an answer for their topic alone", async () => {
  const all = await startTestFleet(59);
  const { fleet, publish } = all;
  const reader = await connectSession(all, "vise-1", "desk", ["notes/t1", "notes/t2", "extra/t0"]);
  const afters: Record<string, string> = {
    "notes/t1": placeOf(reader, "extra/t0"),
    "notes/t2": "ffffff-0123456789.3",
    "notes/t3": `${placeOf(reader, "notes/t1").split(".")[0]!}.77`,
    "notices/t0": "no place at all",
  };
  const subscriptions = [
    ...Object.entries(afters).map(([topic, after]) => ({ topic, after })),
    { topic: "extra/t0", after: placeOf(reader, "extra/t0") },
  ];
  const client = new TestClient(fleet, "vise-2", "desk", { subscriptions });
  expect(
    await fleet.until(() => client.linesOf("confirmed").length === 3 && client.linesOf("fault").length === 2, 5000),
  ).toEqual(true);
  expect(client.linesOf("fault").map((line) => [line["topic"], line["code"]])).toLooseEqual([
    ["notices/t0", "malformed-place"],
    ["notes/t2", "unknown-place"],
  ]);
  expect(
    client
      .linesOf("expired")
      .map((line) => line["topic"])
      .sort(),
  ).toEqual(["notes/t1", "notes/t3"]);
  expect((await publish("desk", 1, "vise-2", "extra/t0"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => client.deliveries("extra/t0").length === 1, 2000)).toEqual(true);
});

test("a push that overtakes the reply which tells of its stream is not lost", async () => {
  const all = await startTestFleet(60);
  const { fleet, publish } = all;
  const { streams } = fleet.find("vise-1")!.edge!;
  const shard = streams.shardOf("6:notes/t1");
  const other = Array.from({ length: 40 }, (_, i) => `notes/u${i}`).find(
    (topic) => streams.shardOf(`6:${topic}`) === shard,
  )!;
  await connectSession(all, "vise-2", "pen", []);
  await connectSession(all, "vise-1", "desk", ["notes/t1"]);
  const late = fleet.addressOf("vise-1");
  fleet.wires.mutate = (_from, to, bytes) =>
    to === late && isKind(bytes, "followReply") ? [{ bytes, delay: 400 }] : undefined;
  const reader = await connectSession(all, "vise-1", "reader", [other]);
  await fleet.run(50);
  expect((await publish("pen", 1, "vise-2", other))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => reader.deliveries().length === 1, 2000)).toEqual(true);
});

test("an edge that slept through a space's removal and return is told to come back, never 404", async () => {
  const all = await startTestFleet(65);
  const { fleet, publish } = all;
  await connectSession(all, "vise-1", "desk", []);
  const deaf = fleet.addressOf("vise-1");
  fleet.wires.mutate = (_from, to, bytes) => (to === deaf && isKind(bytes, "feedPush") ? [] : undefined);
  expect((await all.configuration(["notes", "notices"]))["status"]).toEqual(200);
  expect((await all.configuration(["notes", "notices", "extra"]))["status"]).toEqual(200);
  const early = await publish("desk", 1, "vise-1", "extra/t0");
  expect([early["status"], Number(early["retryAfterSeconds"]) > 0]).toEqual([503, true]);
  const body = JSON.stringify({ topic: "extra/t0" });
  expect((await all.ask("vise-1", "POST", "/v1/sessions/desk/subscriptions", body))["status"]).toEqual(503);
  fleet.wires.heal();
  expect(await fleet.until(() => fleet.find("vise-1")!.node.configuration.version === 3, 4000)).toEqual(true);
  expect((await publish("desk", 1, "vise-1", "extra/t0"))["receipt"]).toEqual("accepted");
});

test("a leader that has heard of a space's removal, and not of its return, says come back, never 404", async () => {
  const all = await startTestFleet(68);
  const { fleet, publish } = all;
  await connectSession(all, "vise-1", "desk", []);
  const { node, edge } = fleet.find("vise-1")!;
  const leaderName = node.shards.find(edge!.streams.shardOf(node.configuration.route("extra/t0")!.stream)).leader;
  const deaf = [fleet.addressOf("vise-1")];
  fleet.wires.mutate = (_from, to, bytes) => (deaf.includes(to) && isKind(bytes, "feedPush") ? [] : undefined);
  expect((await all.configuration(["notes", "notices"]))["status"]).toEqual(200);
  expect(await fleet.until(() => fleet.find(leaderName)!.node.configuration.version === 2, 1000)).toEqual(true);
  deaf.push(fleet.addressOf(leaderName));
  expect((await all.configuration(["notes", "notices", "extra"]))["status"]).toEqual(200);
  const body = JSON.stringify({ topic: "extra/t0" });
  const asked = [publish("desk", 1, "vise-1", "extra/t0")];
  asked.push(all.ask("vise-1", "POST", "/v1/sessions/desk/subscriptions", body));
  for (const { status, retryAfterSeconds } of await Promise.all(asked))
    expect([status, Number(retryAfterSeconds) > 0]).toEqual([503, true]);
  expect([node.configuration.version, fleet.find(leaderName)!.node.configuration.version]).toEqual([1, 2]);
  fleet.wires.heal();
  expect(
    await fleet.until(
      () => [node, fleet.find(leaderName)!.node].every(({ configuration }) => configuration.version === 3),
      4000,
    ),
  ).toEqual(true);
  expect((await publish("desk", 1, "vise-1", "extra/t0"))["receipt"]).toEqual("accepted");
});

/** A space's rules that store some topics and not others: the space has streams of its own wherever it lies. */
function mixedProgram(contract: object): object[] {
  return [
    { when: { topic: "passing" }, contract: { ...contract, keep: 0 } },
    { when: {}, contract },
  ];
}

// Guards against LOST and ORDER (issue 42): a longer prefix of the other storage took topics from their subscribers,
// and their places were refused.
test("a longer prefix of other storage leaves a topic its subscribers, its places and its numbers", async () => {
  const all = await startTestFleet(66);
  const { fleet, publish, load } = all;
  const topic = "notes/deep/passing";
  const put = async (isNested: boolean): Promise<void> => {
    const configuration = SimLoad.configuration(load.nextVersion);
    const contract = { keep: 120, order: "topic", fault_budget: { machines: 1 } };
    const nested = { name: "deep", prefix: "notes/deep/", program: mixedProgram(contract) };
    const text = documentTextOf({ ...configuration, spaces: [...(isNested ? [nested] : []), ...configuration.spaces] });
    expect((await all.ask("lathe-2", "PUT", "/v1/plan", text))["status"]).toEqual(200);
    await fleet.run(2000);
  };
  const staying = await connectSession(all, "vise-1", "staying", [topic, "notes/t1"]);
  await connectSession(all, "vise-2", "pen", []);
  const places: Array<{ after: string; from: number }> = [];
  const kept: number[] = [];
  let number = 0;
  for (const isNested of [false, true, false, true, false]) {
    await put(isNested);
    const from = number;
    const visitor = await connectSession(all, "vise-3", `visitor-${from}`, [topic]);
    places.push({ after: placeOf(visitor, topic), from });
    // A number that was taken before is not taken again, wherever the topic is kept by now.
    if (number > 0) expect((await publish("pen", number, "vise-2", topic))["receipt"]).toEqual("accepted");
    for (let i = 0; i < 3; i += 1) {
      expect((await publish("pen", (number += 1), "vise-2", topic))["receipt"]).toEqual("accepted");
      if (!isNested) kept.push(number);
    }
    expect(await fleet.until(() => staying.deliveries(topic).length === number, 3000)).toEqual(true);
    expect(staying.deliveries(topic)).toEqual(Array.from({ length: number }, (_, i) => i + 1));
    expect([staying.linesOf("ended"), staying.linesOf("expired")]).toEqual([[], []]);
    expect(await fleet.until(() => visitor.deliveries(topic).length >= 3, 3000)).toEqual(true);
    expect(visitor.deliveries(topic)).toEqual([1, 2, 3].map((one) => from + one));
    visitor.close();
    if (isNested) continue;
    for (const place of places) {
      const subscriptions = [{ topic, after: place.after }];
      const again = new TestClient(fleet, "vise-3", `again-${number}-${place.from}`, { subscriptions });
      const owed = kept.filter((one) => one > place.from);
      const given = (): unknown[] => again.deliveries(topic).filter((one) => kept.some((number) => number === one));
      expect(await fleet.until(() => given().length >= owed.length, 5000)).toEqual(true);
      expect([given(), again.linesOf("expired")]).toEqual([owed, []]);
      again.close();
    }
  }
});

// Guards against LOST (review/2): a longer prefix took topics from their subscribers, and their places were refused.
test("a longer prefix of the same storage leaves a topic its stream, its places and its subscribers", async () => {
  const all = await startTestFleet(79);
  const { fleet, publish, load } = all;
  const topic = "notes/deep/t1";
  const contract = { keep: 120, order: "topic", fault_budget: { machines: 1 } };
  const put = async (isNested: boolean): Promise<void> => {
    const configuration = SimLoad.configuration(load.nextVersion);
    const nested = { name: "deep", prefix: "notes/deep/", program: [{ when: {}, contract }] };
    const text = documentTextOf({ ...configuration, spaces: [...(isNested ? [nested] : []), ...configuration.spaces] });
    expect((await all.ask("lathe-2", "PUT", "/v1/plan", text))["status"]).toEqual(200);
    await fleet.run(2000);
  };
  const staying = await connectSession(all, "vise-1", "staying", [topic]);
  await connectSession(all, "vise-2", "pen", []);
  const start = placeOf(staying, topic);
  let number = 0;
  for (const isNested of [false, true, false]) {
    await put(isNested);
    expect((await publish("pen", (number += 1), "vise-2", topic))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => staying.deliveries().length === number, 3000)).toEqual(true);
    expect(staying.linesOf("ended")).toEqual([]);
    const subscriptions = [{ topic, after: start }];
    const again = new TestClient(fleet, "vise-3", `again-${number}`, { subscriptions });
    expect(await fleet.until(() => again.deliveries().length === number, 5000)).toEqual(true);
    expect(again.linesOf("expired")).toEqual([]);
    again.close();
  }
  expect(staying.deliveries(topic)).toEqual([1, 2, 3]);
});

test("a topic whose space was of other storage while its leaders slept goes on with what was kept", async () => {
  const all = await startTestFleet(67);
  const { fleet, publish, load } = all;
  const topic = "notes/deep/t1";
  const reader = await connectSession(all, "vise-1", "desk", [topic]);
  expect((await publish("desk", 1, "vise-1", topic))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => reader.deliveries().length === 1, 2000)).toEqual(true);
  const after = placeOf(reader, topic);
  expect((await publish("desk", 2, "vise-1", topic))["receipt"]).toEqual("accepted");
  reader.close();
  for (const name of fleet.withRole("anvil")) fleet.kill(name);
  await fleet.run(1500);
  const contract = { keep: 120, order: "topic", fault_budget: {} };
  const deep = { name: "deep", prefix: "notes/deep/", program: mixedProgram(contract) };
  const configurations = [SimLoad.configuration(load.nextVersion), SimLoad.configuration(load.nextVersion)];
  configurations[0]!.spaces.push(deep);
  for (const configuration of configurations) {
    expect((await all.ask("lathe-2", "PUT", "/v1/plan", documentTextOf(configuration)))["status"]).toEqual(200);
    await fleet.run(300);
  }
  for (const name of fleet.withRole("anvil")) fleet.revive(name);
  await fleet.run(6000);
  const again = new TestClient(fleet, "vise-2", "desk", { subscriptions: [{ topic, after }] });
  expect(await fleet.until(() => again.linesOf("confirmed").length === 1, 5000)).toEqual(true);
  expect(again.linesOf("expired")).toEqual([]);
  expect((await publish("desk", 2, "vise-2", topic))["receipt"]).toEqual("accepted");
  expect((await publish("desk", 3, "vise-2", topic))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => again.deliveries().length >= 2, 2000)).toEqual(true);
  expect(again.deliveries(topic)).toEqual([2, 3]);
});

test("a space with an empty prefix has the topics that no other space has", async () => {
  const at = await startTestFleet(77);
  const { fleet, load, ask, publish } = at;
  const contract = { keep: 60, order: "sender", fault_budget: { machines: 1 } };
  const spaces = ["", "notes/"].map((prefix, i) => ({ name: `s${i}`, prefix, program: [{ when: {}, contract }] }));
  const put = (of: object[]): Promise<Line> =>
    ask("lathe-2", "PUT", "/v1/plan", documentTextOf({ mark: load.nextVersion, spaces: of }));
  expect((await put(spaces))["status"]).toEqual(200);
  await fleet.run(2000);
  const reader = await connectSession(at, "vise-2", "reader", ["anything", "notes/t1"]);
  await connectSession(at, "vise-1", "writer", []);
  expect((await publish("writer", 1, "vise-1", "anything"))["status"]).toEqual(200);
  expect((await publish("writer", 2, "vise-1", "notes/t1"))["status"]).toEqual(200);
  expect(await fleet.until(() => reader.deliveries().length === 2, 3000)).toEqual(true);
  expect((await put(spaces.slice(1)))["status"]).toEqual(200);
  await fleet.run(2000);
  expect((await publish("writer", 3, "vise-1", "anything"))["status"]).toEqual(404);
});
