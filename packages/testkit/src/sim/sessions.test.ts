import { test } from "node:test";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { expect } from "earl";
import { TestClient, startTestFleet, type Line } from "./testClient.js";
import type { SimFleet } from "./simFleet.js";

/** What the store itself says: the newest of all control nodes. */
function ownerOf(fleet: SimFleet, session: string): { node: string; revision: number } {
  const kept = ["lathe-1", "lathe-2", "lathe-3"]
    .map((name) => fleet.find(name)?.control?.raft?.metadata.get(OwnerKey.of(session)))
    .filter((kv) => kv !== undefined)
    .sort((a, b) => b.revision - a.revision)[0]!;
  return { node: OwnerKey.read(kept.value)!.node, revision: kept.revision };
}

const request = { subscriptions: [{ topic: "notes/t1" }] };

test(
  "the ordinary path: the owner's key, the pull, the old owner stops and ships, and only " + "then the rewrite",
  async () => {
    const { fleet, publish, ask } = await startTestFleet(11);
    const first = new TestClient(fleet, "vise-1", "desk", request);
    expect(await fleet.until(() => first.linesOf("confirmed").length === 1, 5000)).toEqual(true);
    expect((await publish("desk", 1))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => first.linesOf("message").length === 1, 2000)).toEqual(true);
    const before = ownerOf(fleet, "desk");
    expect(before.node).toEqual("vise-1");

    const steps: string[] = [];
    fleet.find("vise-1")!.edge!.sessions.on("step", (step) => steps.push(`old ${step}`));
    fleet.find("vise-2")!.edge!.sessions.on("step", (step) => {
      steps.push(`new ${step}`);
      if (step === "shipped") steps.push(`key names ${ownerOf(fleet, "desk").node}`);
    });
    const second = new TestClient(fleet, "vise-2", "desk", request);
    expect(await fleet.until(() => second.linesOf("confirmed").length === 1, 5000)).toEqual(true);
    expect(steps.filter((step) => !step.startsWith("key"))).toEqual([
      "new pull",
      "old stopped",
      "new shipped",
      "new owner-written",
    ]);
    expect(steps.find((step) => step.startsWith("key"))).toEqual(expect.includes("key names vise-1"));
    expect(first.linesOf("goodbye")[0]?.["reason"]).toEqual("taken over");
    await fleet.run(1000);
    const after = ownerOf(fleet, "desk");
    expect([after.node, after.revision > before.revision]).toEqual(["vise-2", true]);

    // Shipped: the numbers accepted and the cursor, so nothing comes twice and a known number keeps its reply.
    expect(second.linesOf("open")[0]?.["numbers"]).toEqual({ "notes/t1": 1 });
    expect((await publish("desk", 1, "vise-2"))["receipt"]).toEqual("accepted");
    expect((await publish("desk", 2, "vise-3"))["receipt"]).toEqual("accepted");
    await fleet.run(1000);
    expect(second.linesOf("message").map((line) => line["number"])).toEqual([2]);
    expect((await ask("vise-2", "GET", "/v1/status"))["links"]).toEqual(1);
  },
);

test(
  "an old owner that does not answer keeps the key until its lease is lost; the caller hears " +
    "at once when to come back",
  async () => {
    const { fleet } = await startTestFleet(12);
    const first = new TestClient(fleet, "vise-1", "desk", request);
    await fleet.until(() => first.linesOf("confirmed").length === 1, 5000);
    fleet.isolate("vise-1", fleet.names, "both");
    const askedAt = fleet.world.now;
    const second = new TestClient(fleet, "vise-2", "desk", request);
    expect(await fleet.until(() => second.reply !== undefined, 3000)).toEqual(true);
    expect(second.reply!["status"]).toEqual(503);
    expect(Number(second.reply!["retryAfterSeconds"]) > 0).toEqual(true);
    expect(fleet.world.now - askedAt < 1500).toEqual(true);
    let last = second;
    const took = await fleet.until(() => {
      if (last.reply !== undefined) last = new TestClient(fleet, "vise-2", "desk", request);
      return last.linesOf("confirmed").length === 1;
    }, 12_000);
    expect(took).toEqual(true);
    // The cut-off owner gave its connections up before the key could be taken from it.
    expect(first.isClosed).toEqual(true);
    expect(fleet.find("vise-1")!.edge!.sessions.find("desk")).toEqual(undefined);
  },
);

for (const ways of ["in", "both"] as const) {
  test(`the clients of an edge that is cut off (${ways}) are served elsewhere within 2 s`, async () => {
    const { fleet, publish } = await startTestFleet(20);
    const first = new TestClient(fleet, "vise-1", "desk", request);
    const pen = new TestClient(fleet, "vise-3", "pen", {});
    await fleet.until(() => first.linesOf("confirmed").length === 1 && pen.linesOf("open").length === 1, 5000);
    const cutAt = fleet.world.now;
    fleet.isolate("vise-1", fleet.names, ways);
    expect((await publish("pen", 1, "vise-3"))["receipt"]).toEqual("accepted");
    // As a client does that hears nothing for three beats, or is told goodbye: elsewhere, when it was told to.
    let next = first;
    let comeAt = cutAt + 900;
    const isServed = (): boolean => {
      const { reply } = next;
      if (reply !== undefined) comeAt = Math.min(comeAt, fleet.world.now) + Number(reply["retryAfterSeconds"]) * 1000;
      if (reply !== undefined || next === first) {
        if (fleet.world.now < comeAt) return false;
        next = new TestClient(fleet, "vise-2", "desk", request);
      }
      return next.deliveries("notes/t1").length === 1;
    };
    expect(await fleet.until(isServed, 4000)).toEqual(true);
    expect(fleet.world.now - cutAt < 2000).toEqual(true);
  });
}

test("control nodes that let go of their feeds for a moment cost no edge its connections", async () => {
  const { fleet } = await startTestFleet(21);
  const clients = ["vise-1", "vise-2", "vise-3"].map((node) => new TestClient(fleet, node, `desk-${node}`, request));
  expect(await fleet.until(() => clients.every((client) => client.linesOf("confirmed").length === 1), 5000)).toEqual(
    true,
  );
  const controlNodes = fleet.withRole("lathe");
  for (const controlNode of controlNodes) fleet.isolate(controlNode, controlNodes, "both");
  // Long enough for them to be out of touch, too short for a lease.
  await fleet.run(500);
  fleet.wires.heal();
  await fleet.run(3000);
  expect(clients.map((client) => client.isClosed)).toEqual([false, false, false]);
});

test("an edge frozen past its lease closes its connections before it delivers or takes anything", async () => {
  const { fleet, publish } = await startTestFleet(13);
  const first = new TestClient(fleet, "vise-1", "desk", request);
  await fleet.until(() => first.linesOf("confirmed").length === 1, 5000);
  fleet.pause("vise-1", 9000);
  await fleet.run(6000);
  const second = new TestClient(fleet, "vise-2", "desk", request);
  expect(await fleet.until(() => second.linesOf("confirmed").length === 1, 4000)).toEqual(true);
  expect((await publish("desk", 1, "vise-2"))["receipt"]).toEqual("accepted");
  await fleet.run(8000);
  expect(first.linesOf("message")).toEqual([]);
  expect(first.isClosed).toEqual(true);
  expect(second.linesOf("message").length).toEqual(1);
});

test("of two resumes at once one wins and the other is told when to come back", async () => {
  const { fleet } = await startTestFleet(14);
  const clients = ["vise-1", "vise-2", "vise-3"].map((node) => new TestClient(fleet, node, "desk", request));
  await fleet.run(4000);
  const open = clients.filter((client) => client.linesOf("confirmed").length > 0 && !client.isClosed);
  expect(open.length).toEqual(1);
  for (const client of clients.filter((one) => one !== open[0]))
    expect(client.reply?.["status"] === 503 || client.linesOf("goodbye").length === 1).toEqual(true);
});

test(
  "a node that is asked to stop says goodbye, lets its sessions go with their cursors, and " +
    "is done well inside 6 s",
  async () => {
    const { fleet, publish } = await startTestFleet(15);
    const first = new TestClient(fleet, "vise-1", "desk", request);
    const writer = new TestClient(fleet, "vise-2", "pen", {});
    await fleet.until(() => first.linesOf("confirmed").length === 1 && writer.linesOf("open").length === 1, 5000);
    await publish("pen", 1, "vise-2");
    await fleet.until(() => first.linesOf("message").length === 1, 3000);
    let stoppedAt = 0;
    const askedAt = fleet.world.now;
    void fleet
      .find("vise-1")!
      .stop()
      .then(() => (stoppedAt = fleet.world.now));
    expect(await fleet.until(() => stoppedAt > 0, 6000)).toEqual(true);
    expect(stoppedAt - askedAt < 4000).toEqual(true);
    expect(first.linesOf("goodbye")[0]?.["reason"]).toEqual("stopping");
    await publish("pen", 2, "vise-2");
    const second = new TestClient(fleet, "vise-2", "desk", request);
    expect(await fleet.until(() => second.linesOf("message").length === 1, 4000)).toEqual(true);
    expect(second.linesOf("message")[0]?.["number"]).toEqual(2);
  },
);

test(
  "places: malformed, unknown and of another incarnation each get a definite answer " + "for that topic alone",
  async () => {
    const { fleet, publish } = await startTestFleet(16);
    const client = new TestClient(fleet, "vise-1", "desk", {
      subscriptions: [
        { topic: "notes/t1", after: "nonsense" },
        { topic: "notes/t2", after: "1-00000000ff.7" },
        { topic: "notes/t3" },
        { topic: "nowhere/t4" },
      ],
    });
    expect(
      await fleet.until(() => client.linesOf("confirmed").length === 2 && client.linesOf("fault").length === 2, 5000),
    ).toEqual(true);
    expect(client.linesOf("fault").map((line) => [line["topic"], line["code"]])).toEqual([
      ["notes/t1", "malformed-place"],
      ["nowhere/t4", "unknown-topic"],
    ]);
    expect(client.linesOf("expired").map((line) => line["topic"])).toEqual(["notes/t2"]);
    expect(client.isClosed).toEqual(false);
    const place = String(client.linesOf("confirmed").find((line) => line["topic"] === "notes/t3")!["place"]).split(
      ".",
    )[0];
    const ahead = new TestClient(fleet, "vise-2", "other", {
      subscriptions: [{ topic: "notes/t3", after: `${place}.99` }],
    });
    expect(await fleet.until(() => ahead.linesOf("fault").length === 1, 3000)).toEqual(true);
    expect(ahead.linesOf("fault")[0]?.["code"]).toEqual("unknown-place");
    expect((await publish("desk", 1))["receipt"]).toEqual("accepted");
  },
);

test("numbers: a known one keeps its reply, one that goes backwards is refused for good", async () => {
  const { fleet, publish } = await startTestFleet(17);
  const client = new TestClient(fleet, "vise-1", "desk", request);
  await fleet.until(() => client.linesOf("confirmed").length === 1, 5000);
  const third = await publish("desk", 3);
  expect(third["receipt"]).toEqual("accepted");
  expect((await publish("desk", 3))["place"]).toEqual(third["place"]);
  const back = await publish("desk", 2);
  expect([back["status"], (back["error"] as Line)["code"]]).toEqual([409, "number-went-backwards"]);
  await fleet.run(1000);
  expect(client.linesOf("message").map((line) => line["number"])).toEqual([3]);
});

test(
  "a reader that does not read has a bounded buffer: its link is closed, and it resumes by " +
    "its place without a gap",
  async () => {
    const { fleet, publish } = await startTestFleet(18);
    const reader = new TestClient(fleet, "vise-1", "slow", request);
    const writer = new TestClient(fleet, "vise-2", "pen", {});
    await fleet.until(() => reader.linesOf("confirmed").length === 1 && writer.linesOf("open").length === 1, 5000);
    await publish("pen", 1, "vise-2");
    await fleet.until(() => reader.linesOf("message").length === 1, 3000);
    const after = String(reader.linesOf("message")[0]!["place"]);
    const { liveSettings: live } = fleet.find("vise-1")!.edge!;
    live.bufferBytes = 2000;
    fleet.port.stalled.add("slow");
    for (let number = 2; number <= 40; number += 1)
      expect((await publish("pen", number, "vise-2"))["receipt"]).toEqual("accepted");
    expect(await fleet.until(() => reader.isClosed, 5000)).toEqual(true);
    expect(fleet.find("vise-1")!.edge!.sessions.find("slow")!.connection).toEqual(undefined);
    fleet.port.stalled.clear();
    const again = new TestClient(fleet, "vise-3", "slow", { subscriptions: [{ topic: "notes/t1", after }] });
    expect(await fleet.until(() => again.linesOf("message").length === 39, 5000)).toEqual(true);
    expect(again.linesOf("message").map((line) => line["number"])).toEqual(Array.from({ length: 39 }, (_, i) => i + 2));
  },
);

for (const ways of ["both", "out", "in"] as const) {
  test(`an edge whose way to a holder is cut (${ways}) publishes and reads through another node`, async () => {
    const { fleet, publish } = await startTestFleet(19);
    const client = new TestClient(fleet, "vise-1", "desk", request);
    expect(await fleet.until(() => client.linesOf("confirmed").length === 1, 5000)).toEqual(true);
    const { leader: leaderName, epoch } = fleet
      .find("vise-1")!
      .node.shards.find(fleet.find("vise-1")!.edge!.streams.shardOf("6:notes/t1"));
    fleet.isolate("vise-1", [leaderName], ways);
    for (let number = 1; number <= 5; number += 1) {
      let reply = await publish("desk", number);
      for (let tries = 0; reply["receipt"] !== "accepted" && tries < 4; tries += 1)
        reply = await publish("desk", number);
      expect(reply["receipt"]).toEqual("accepted");
    }
    expect(await fleet.until(() => client.linesOf("message").length === 5, 3000)).toEqual(true);
    expect(client.linesOf("message").map((line) => line["number"])).toEqual([1, 2, 3, 4, 5]);
    // Nobody lost a claim over it.
    const after = fleet.find("vise-2")!.node.shards.find(fleet.find("vise-1")!.edge!.streams.shardOf("6:notes/t1"));
    expect([after.leader, after.epoch]).toEqual([leaderName, epoch]);
  });
}
