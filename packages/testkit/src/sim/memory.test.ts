import { test } from "node:test";
import { repeatWindowMs } from "@cranetrack/core/runtime/repeatWindow.js";
import type { ShardService } from "@cranetrack/log-storage/shards/shardService.js";
import type { ShardLeader } from "@cranetrack/log-storage/shards/shardLeader.js";
import type { PublishReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Wire, type Body } from "@cranetrack/core/rpc/wire.js";
import { countTopic, type TopicCountResult } from "@cranetrack/edge/subscriptions/countTopic.js";
import { viewOf } from "@cranetrack/edge/fanout/viewOf.js";
import { expect } from "earl";
import { connectSession as connectToEndpoint, resultOf } from "./endpointConnection.js";
import { TestClient, startTestFleet, type Line, type TestFleet } from "./testClient.js";

/** A fleet whose space `notes` keeps nothing, and so does `extra`, which has one order. */
async function keepingNothing(seed: number): Promise<TestFleet> {
  const all = await startTestFleet(seed);
  const reply = await all.configuration(["notes", "notices", "extra"], (spaces) => {
    spaces["notes"]![0]!.contract["keep"] = 0;
    spaces["extra"]![0]!.contract["keep"] = 0;
  });
  expect(reply["status"]).toEqual(200);
  await all.fleet.run(1000);
  return all;
}

async function connectSession(
  { fleet }: TestFleet,
  node: string,
  session: string,
  subscriptions: readonly object[],
): Promise<TestClient> {
  const client = new TestClient(fleet, node, session, { subscriptions: subscriptions });
  const isConnected = (): boolean =>
    client.linesOf("open").length > 0 && client.linesOf("confirmed").length === subscriptions.length;
  expect(await fleet.until(isConnected, 5000)).toEqual(true);
  return client;
}

function shardLeaderOf(
  { fleet }: TestFleet,
  topic: string,
): { name: string; shard: number; leader: ShardLeader; service: ShardService } {
  const { node, edge } = fleet.find("vise-2")!;
  const shard = edge!.streams.shardOf(node.configuration.route(topic)!.stream);
  const name = node.shards.find(shard).leader;
  const { leader, service } = fleet.find(name)!.storage!.leadership!.find(shard)!;
  return { name, shard, leader, service };
}

/** Kills the process of the topic's shard leader and waits for the next leader. */
async function replaceLeader(all: TestFleet, topic: string): Promise<void> {
  const { name, shard } = shardLeaderOf(all, topic);
  const { shards } = all.fleet.find("vise-2")!.node;
  all.fleet.kill(name);
  expect(await all.fleet.until(() => ![name, ""].includes(shards.find(shard).leader), 9000)).toEqual(true);
}

/** Publishes under the same number, as a client without a reply does, until that is accepted. */
async function publishUntilAccepted(
  { fleet, publish }: TestFleet,
  ...message: Parameters<TestFleet["publish"]>
): Promise<void> {
  let reply = await publish(...message);
  for (let tries = 0; reply["receipt"] !== "accepted" && tries < 20; tries += 1) {
    await fleet.run(200);
    reply = await publish(...message);
  }
  expect(reply["receipt"]).toEqual("accepted");
}

async function counted({ fleet }: TestFleet, topic: string, node = "vise-2"): Promise<TopicCountResult> {
  let got: TopicCountResult | undefined;
  void countTopic(fleet.find(node)!.edge!, topic).then((count) => (got = count));
  expect(await fleet.until(() => got !== undefined, 5000)).toEqual(true);
  return got!;
}

const logged = ({ fleet }: TestFleet): number =>
  Math.max(...fleet.withRole("anvil").map((name) => fleet.find(name)?.storage?.replicas[0]?.log.lastIndex ?? 0));

test("a space that keeps nothing is delivered in order, from memory, and writes no log", async () => {
  const all = await keepingNothing(801);
  const { fleet, publish } = all;
  const readers = [await connectSession(all, "vise-1", "desk", [{ topic: "notes/t1" }])];
  readers.push(await connectSession(all, "vise-3", "shelf", [{ topic: "notes/t1" }, { topic: "extra/t0" }]));
  await connectSession(all, "vise-2", "pen", []);
  const before = logged(all);
  for (let number = 1; number <= 5; number += 1) {
    const reply = await publish("pen", number, "vise-2");
    expect(reply["receipt"]).toEqual("accepted");
    // Sent again it is the same message.
    expect((await publish("pen", number, "vise-2"))["place"]).toEqual(reply["place"]);
  }
  expect((await publish("pen", 1, "vise-2", "extra/t0"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => readers[1]!.deliveries().length === 6, 2000)).toEqual(true);
  await fleet.run(500);
  for (const reader of readers) expect(reader.deliveries("notes/t1")).toEqual([1, 2, 3, 4, 5]);
  expect(readers[1]!.deliveries("extra/t0")).toEqual([1]);
  expect(logged(all)).toEqual(before);
  const { shard } = shardLeaderOf(all, "notes/t1");
  for (const name of fleet.withRole("anvil"))
    expect(fleet.find(name)!.storage!.replicas[shard]!.state.streams.has("notes/t1")).toEqual(false);
});

test("numbers that go backwards and payloads that are too large are refused in memory as in a log", async () => {
  const all = await keepingNothing(802);
  const { publish, ask, fleet } = all;
  await connectSession(all, "vise-2", "pen", []);
  expect((await publish("pen", 4, "vise-2"))["receipt"]).toEqual("accepted");
  // An earlier leader might have taken it, as long as anybody would still repeat it.
  expect((await publish("pen", 3, "vise-2"))["status"]).toEqual(504);
  await fleet.run(repeatWindowMs(fleet.find("vise-2")!.node.parts.settings));
  expect((await publish("pen", 4, "vise-2"))["receipt"]).toEqual("accepted");
  expect((await publish("pen", 3, "vise-2"))["status"]).toEqual(409);
  const large = JSON.stringify({ topic: "notes/t1", number: 5, payload: "x".repeat(70_000) });
  expect((await ask("vise-2", "POST", "/v1/sessions/pen/messages", large))["status"]).toEqual(413);
  expect((await publish("pen", 5, "vise-2"))["status"]).toEqual(409);
  expect((await publish("pen", 6, "vise-2"))["receipt"]).toEqual("accepted");
});

test("the leader changes in the middle: silent, no message twice, the sender's order holds", async () => {
  const all = await keepingNothing(803);
  const { fleet, publish } = all;
  const reader = await connectSession(all, "vise-1", "desk", [{ topic: "notes/t1" }]);
  await connectSession(all, "vise-2", "pen", []);
  for (let number = 1; number <= 3; number += 1)
    expect((await publish("pen", number, "vise-2"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => reader.deliveries().length === 3, 2000)).toEqual(true);
  await replaceLeader(all, "notes/t1");
  // Whoever had no reply for these sends them again, to a leader that knows nothing of them.
  for (const number of [2, 3, 4, 5]) {
    await publishUntilAccepted(all, "pen", number, "vise-2");
  }
  expect(await fleet.until(() => reader.deliveries().length >= 5, 4000)).toEqual(true);
  await fleet.run(2000);
  expect(reader.deliveries("notes/t1")).toEqual([1, 2, 3, 4, 5]);
  expect([reader.linesOf("expired"), reader.linesOf("ended"), reader.isClosed]).toEqual([[], [], false]);
});

// Guards against ORDER (review/10): the acknowledgement was lost, the leader changed, the space was removed and made
// again, and the repeated number came a second time to readers that had stayed on their connections.
test("a reader gets a repeated number once on a connection, also after its space was removed", async () => {
  const all = await keepingNothing(812);
  const { fleet, publish } = all;
  const { wire: reader, connection } = await connectToEndpoint(fleet, "vise-3", "desk");
  expect((await resultOf(fleet, connection.subscribe("notes/t1"))).outcome).toEqual("confirmed");
  await connectSession(all, "vise-1", "pen", []);
  expect((await publish("pen", 1))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => reader.numbers().length === 1, 2000)).toEqual(true);
  await replaceLeader(all, "notes/t1");
  const keepNothing = (spaces: Record<string, Array<{ contract: Line }>>): void =>
    void (spaces["notes"]![0]!.contract["keep"] = 0);
  expect((await all.configuration(["notices"]))["status"]).toEqual(200);
  await fleet.run(500);
  expect((await all.configuration(["notes", "notices"], keepNothing))["status"]).toEqual(200);
  await fleet.run(1000);
  for (const number of [1, 2]) {
    await publishUntilAccepted(all, "pen", number);
  }
  expect(await fleet.until(() => reader.numbers().includes(2), 4000)).toEqual(true);
  expect([reader.numbers(), reader.isClosed]).toEqual([[1, 2], false]);
});

// The same class as review/10: a number that was accepted in the memory of a leader that is gone came again once its
// topic's messages were kept, and the log, which had never seen it, accepted it a second time.
test("a number that an earlier leader took in memory is not taken by the log of a space that now keeps", async () => {
  const all = await keepingNothing(813);
  const { fleet, publish } = all;
  await connectSession(all, "vise-1", "pen", []);
  expect((await publish("pen", 1))["receipt"]).toEqual("accepted");
  const { name, shard } = shardLeaderOf(all, "notes/t1");
  fleet.kill(name);
  expect((await all.configuration(["notes", "notices", "extra"]))["status"]).toEqual(200);
  const { shards } = fleet.find("vise-2")!.node;
  expect(await fleet.until(() => ![name, ""].includes(shards.find(shard).leader), 9000)).toEqual(true);
  await fleet.run(1500);
  expect((await publish("pen", 1))["status"]).toEqual(504);
  expect((await publish("pen", 2))["receipt"]).toEqual("accepted");
  expect((await publish("pen", 2))["receipt"]).toEqual("accepted");
});

// Guards against ORDER (review/8): the acknowledgement was lost, the leader changed, others published, and the repeated
// number was taken once more, behind their messages.
test("in one order, a number that an earlier leader took is not sequenced again behind what came since", async () => {
  const all = await keepingNothing(811);
  const { fleet, publish } = all;
  const topic = "extra/t0";
  await connectSession(all, "vise-1", "pen", []);
  await connectSession(all, "vise-2", "quill", []);
  const reader = await connectSession(all, "vise-3", "desk", [{ topic }]);
  expect((await publish("pen", 1, "vise-1", topic))["receipt"]).toEqual("accepted");
  await replaceLeader(all, topic);
  const late = await connectSession(all, "vise-2", "shelf", [{ topic }]);
  await publishUntilAccepted(all, "quill", 1, "vise-2", topic);
  expect((await publish("pen", 1, "vise-1", topic))["status"]).toEqual(504);
  expect((await publish("pen", 2, "vise-1", topic))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => late.deliveries().length === 2, 4000)).toEqual(true);
  const senders = (client: TestClient): unknown[] => client.linesOf("message").map((line) => line["sender"]);
  expect([senders(reader), senders(late)]).toEqual([
    ["pen", "quill", "pen"],
    ["quill", "pen"],
  ]);
});

test("a place of another incarnation, or of nowhere, is confirmed without a word where nothing is kept", async () => {
  const all = await keepingNothing(804);
  const { fleet, publish } = all;
  const reader = await connectSession(all, "vise-1", "desk", [{ topic: "notes/t1" }]);
  await connectSession(all, "vise-2", "pen", []);
  for (let number = 1; number <= 2; number += 1) await publish("pen", number, "vise-2");
  expect(await fleet.until(() => reader.deliveries().length === 2, 2000)).toEqual(true);
  const place = String(reader.linesOf("message")[0]!["place"]);
  reader.close();
  await publish("pen", 3, "vise-2");
  // From the tail, as long as it has it.
  const soon = await connectSession(all, "vise-3", "desk", [{ topic: "notes/t1", after: place }]);
  expect(await fleet.until(() => soon.deliveries().length === 2, 2000)).toEqual(true);
  expect(soon.deliveries("notes/t1")).toEqual([2, 3]);
  soon.close();
  await fleet.run(15_000);
  for (const after of [place, "1-0123456789.7", "ffffff-0123456789.3"]) {
    const again = await connectSession(all, "vise-1", "desk", [{ topic: "notes/t1", after }]);
    expect([again.linesOf("expired"), again.linesOf("fault"), again.deliveries()]).toEqual([[], [], []]);
    again.close();
    await fleet.run(200);
  }
});

test("numbers sent without waiting for each other are taken in order while the incarnation is being made", async () => {
  const all = await keepingNothing(805);
  const { fleet } = all;
  for (const topic of ["notes/new", "notices/new"]) {
    const { name, shard } = shardLeaderOf(all, topic);
    const { rpc, configuration } = fleet.find("vise-1")!.node;
    const publish = {
      shard,
      session: "sender-1",
      ownerEpoch: 9,
      topic,
      ...viewOf({ configuration }, configuration.route(topic)!),
    };
    const replies: PublishReply[] = [];
    const collect = (body: Body | undefined): void => void (body?.case === "publishReply" && replies.push(body.value));
    for (let number = 1; number <= 8; number += 1)
      void rpc.call(name, { case: "publish", value: { ...publish, number } }, 3000).then(collect);
    expect(await fleet.until(() => replies.length === 8, 4000)).toEqual(true);
    expect(replies.map(({ outcome }) => outcome)).toEqual(Array.from({ length: 8 }, () => "accepted"));
    const first = replies[0]!.seq;
    expect(replies.map(({ seq }) => seq - first)).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
  }
});

test("a number that comes in the turn that commits its incarnation does not overtake those that waited", async () => {
  const all = await startTestFleet(806);
  const { fleet } = all;
  const topic = "notes/fresh";
  const { leader, service, shard, name } = shardLeaderOf(all, topic);
  const { configuration } = fleet.find(name)!.node;
  const place = {
    shard,
    session: "pen",
    ownerEpoch: 9,
    topic,
    ...viewOf({ configuration }, configuration.route(topic)!),
  };
  const base = { ...place, payload: new Uint8Array(1), mayBeRepeat: false, mayBeInMemory: false };
  const outcomes = new Map<number, string>();
  const say = (number: number): void => {
    const publish = { ...base, number, $typeName: "cranetrack.v1.Publish" as const };
    void service.publish(publish).then(({ value }) => outcomes.set(number, value.outcome ?? ""));
  };
  say(1);
  say(2);
  leader.once("applied", () => say(3));
  expect(await fleet.until(() => outcomes.size === 3, 3000)).toEqual(true);
  expect([...outcomes]).toEqual([
    [1, "accepted"],
    [2, "accepted"],
    [3, "accepted"],
  ]);
});

test("what an earlier leader may have delivered is not refused for good by the next one", async () => {
  const all = await keepingNothing(809);
  const { fleet } = all;
  const topic = "notes/t1";
  const reader = await connectSession(all, "vise-1", "desk", [{ topic }]);
  await connectSession(all, "vise-2", "pen", []);
  const { name, shard } = shardLeaderOf(all, topic);
  const pen = fleet.addressOf("vise-2");
  // Number 1 is taken and pushed, and its reply is lost.
  fleet.wires.mutate = (_from, to, bytes) =>
    to === pen && Wire.decode(bytes)?.body.case === "publishReply" ? [] : undefined;
  let reply: Record<string, unknown> | undefined;
  const body = JSON.stringify({ topic, number: 1, payload: "p1" });
  void fleet.port
    .call("vise-2", "POST", "/v1/sessions/pen/messages", body)
    .then((got) => (reply = { status: got.status, ...got.body }));
  expect(await fleet.until(() => reader.deliveries().length === 1, 1000)).toEqual(true);
  // Its leader gives the shard up; number 2 is at the next leader before number 1 comes again.
  fleet.wires.mutate = (from, _to, bytes) =>
    from === pen && Wire.decode(bytes)?.body.case === "publish" ? [{ bytes, delay: 100 }] : undefined;
  void fleet.find(name)!.storage!.leadership!.release(shard, "the test says so");
  const next = (): ShardService | undefined => {
    const { leader: leaderName } = fleet.find("vise-2")!.node.shards.find(shard);
    const claim = fleet.find(leaderName)?.storage?.leadership?.find(shard);
    return claim?.service.isAuthorized === true ? claim.service : undefined;
  };
  const epoch = fleet.find(name)!.storage!.leadership!.find(shard)?.leader.epoch;
  expect(epoch).toEqual(undefined);
  for (let ms = 0; ms < 3000 && next() === undefined; ms += 1) await fleet.run(1);
  const { configuration } = fleet.find("vise-2")!.node;
  const view = viewOf({ configuration }, configuration.route(topic)!);
  const publish = { $typeName: "cranetrack.v1.Publish" as const, shard, session: "pen", ownerEpoch: 1e9, topic };
  let second = "";
  void next()!
    .publish({ ...publish, ...view, number: 2, payload: Buffer.from("p2"), mayBeRepeat: false, mayBeInMemory: false })
    .then(({ value }) => (second = value.outcome ?? ""));
  expect(await fleet.until(() => second !== "", 1000)).toEqual(true);
  expect(second).toEqual("accepted");
  fleet.wires.mutate = undefined;
  expect(await fleet.until(() => reply !== undefined, 4000)).toEqual(true);
  // Delivered already: whoever is told that it never will be publishes it a second time.
  expect(reply!["status"]).toEqual(504);
  const again = await all.publish("pen", 1, "vise-2");
  expect(again["status"]).toEqual(504);
});

test("what a reader fetched from one leader does not come a second time from the next", async () => {
  const all = await keepingNothing(810);
  const { fleet, publish } = all;
  const topic = "notes/t1";
  await connectSession(all, "vise-2", "pen", []);
  const first = await connectSession(all, "vise-1", "desk", [{ topic }]);
  expect((await publish("pen", 1, "vise-2"))["receipt"]).toEqual("accepted");
  expect(await fleet.until(() => first.deliveries().length === 1, 1000)).toEqual(true);
  const after = first.linesOf("message")[0]!["place"];
  first.close();
  await fleet.run(100);
  expect((await publish("pen", 2, "vise-2"))["receipt"]).toEqual("accepted");
  // At an edge that follows the topic only from now on: what it missed is fetched.
  const again = await connectSession(all, "vise-3", "desk", [{ topic, after }]);
  expect(await fleet.until(() => again.deliveries().length === 1, 1000)).toEqual(true);
  await replaceLeader(all, topic);
  // Its publisher had no reply for it.
  for (const number of [2, 3]) {
    await publishUntilAccepted(all, "pen", number, "vise-2");
  }
  expect(await fleet.until(() => again.deliveries(topic).includes(3), 3000)).toEqual(true);
  expect(again.deliveries(topic)).toEqual([2, 3]);
});

test("one order for all holds over a change of leader, also for what only some edges were given", async () => {
  const all = await keepingNothing(811);
  const { fleet } = all;
  const topic = "extra/t0";
  const readers = [
    await connectSession(all, "vise-1", "desk", [{ topic }]),
    await connectSession(all, "vise-3", "shelf", [{ topic }]),
  ];
  const pens = ["pen-a", "pen-b"];
  for (const pen of pens) await connectSession(all, "vise-2", pen, []);
  const { name, shard } = shardLeaderOf(all, topic);
  const [far, near] = [fleet.addressOf("vise-3"), fleet.addressOf("vise-2")];
  // One edge is given both messages; the other one's pushes are lost, and so are the replies.
  fleet.wires.mutate = (_from, to, bytes) => {
    const kind = Wire.decode(bytes)?.body.case;
    const isLost = (to === far && (kind === "push" || kind === "pushes")) || (to === near && kind === "publishReply");
    return isLost ? [] : undefined;
  };
  for (const pen of pens) {
    const body = JSON.stringify({ topic, number: 1, payload: pen });
    void fleet.port.call("vise-2", "POST", `/v1/sessions/${pen}/messages`, body);
    expect(await fleet.until(() => readers[0]!.linesOf("message").length === pens.indexOf(pen) + 1, 1000)).toEqual(
      true,
    );
  }
  fleet.kill(name);
  await fleet.run(100);
  fleet.wires.mutate = undefined;
  const next = (): string => fleet.find("vise-2")!.node.shards.find(shard).leader;
  expect(await fleet.until(() => ![name, ""].includes(next()), 9000)).toEqual(true);
  await fleet.run(500);
  // Both come again, the second one's first.
  for (const pen of [...pens].reverse()) await all.publish(pen, 1, "vise-2", topic);
  for (const pen of pens) {
    await publishUntilAccepted(all, pen, 2, "vise-2", topic);
  }
  const ordersOf = (): string[][] =>
    readers.map((reader) =>
      reader.linesOf("message").map((line) => `${String(line["sender"])} ${String(line["number"])}`),
    );
  expect(await fleet.until(() => ordersOf().every((order) => order.includes("pen-b 2")), 3000)).toEqual(true);
  const [whole, part] = ordersOf() as [string[], string[]];
  expect(whole).toEqual(["pen-a 1", "pen-b 1", "pen-a 2", "pen-b 2"]);
  expect(part).toEqual(whole.filter((one) => part.includes(one)));
});

test("subscribers are counted right after joins, leaves, an edge's death and a change of leader", async () => {
  const all = await keepingNothing(807);
  const { fleet } = all;
  const count = async (topic = "notes/t1"): Promise<number | string> => {
    const got = await counted(all, topic);
    return got.outcome === "counted" ? got.count : got.outcome;
  };
  const becomes = async (wanted: number, topic = "notes/t1"): Promise<void> => {
    for (let tries = 0; tries < 60 && (await count(topic)) !== wanted; tries += 1) await fleet.run(100);
    expect(await count(topic)).toEqual(wanted);
  };
  expect([await count(), await count("nowhere/t1")]).toEqual([0, "unknown-topic"]);
  const subscriptions = ["notes/t1", "extra/t0"].map((topic) => ({ topic }));
  const clients: TestClient[] = [];
  for (let i = 0; i < 6; i += 1)
    clients.push(await connectSession(all, `vise-${(i % 3) + 1}`, `desk-${i}`, subscriptions));
  await connectSession(all, "vise-1", "other", [{ topic: "extra/t1" }]);
  await fleet.run(100);
  expect([await count(), await count("extra/t0"), await count("extra/t1")]).toEqual([6, 6, 1]);
  clients[1]!.close();
  expect((await all.ask("vise-3", "DELETE", "/v1/sessions/desk-2/subscriptions/notes/t1"))["status"]).toEqual(200);
  await fleet.run(100);
  expect([await count(), await count("extra/t0")]).toEqual([4, 5]);
  fleet.kill("vise-1");
  await becomes(2);
  await becomes(3, "extra/t0");
  await becomes(0, "extra/t1");
  const { name } = shardLeaderOf(all, "notes/t1");
  fleet.kill(name);
  await fleet.run(300);
  const seen = new Set<number>();
  for (let tries = 0; tries < 30; tries += 1) {
    const got = await counted(all, "notes/t1");
    if (got.outcome === "counted") seen.add(got.count);
    await fleet.run(200);
  }
  expect([...seen]).toEqual([2]);
});

test("a contract that begins to keep, and one that ceases to, moves its streams and delivery goes on", async () => {
  const all = await startTestFleet(808);
  const { fleet, publish } = all;
  const reader = await connectSession(all, "vise-1", "desk", [{ topic: "notes/t1" }]);
  await connectSession(all, "vise-2", "pen", []);
  let number = 0;
  for (const keep of [120, 0, 120, 0]) {
    const reply = await all.configuration(
      ["notes", "notices", "extra"],
      (spaces) => (spaces["notes"]![0]!.contract["keep"] = keep),
    );
    expect(reply["status"]).toEqual(200);
    await fleet.run(2000);
    for (let i = 0; i < 3; i += 1)
      expect((await publish("pen", (number += 1), "vise-2"))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => reader.deliveries().length === number, 3000)).toEqual(true);
  }
  expect(reader.deliveries("notes/t1")).toEqual(Array.from({ length: 12 }, (_, i) => i + 1));
});
