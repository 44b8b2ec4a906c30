import { test } from "node:test";
import type { SessionEndpoint } from "@cranetrack/edge/connections/clientEndpoint.js";
import { EdgeClientEndpoint } from "@cranetrack/edge/connections/edgeClientEndpoint.js";
import { expect } from "earl";
import { EndpointConnection, connectSession, resultOf } from "./endpointConnection.js";
import { startTestFleet } from "./testClient.js";
import type { SimFleet } from "./simFleet.js";

async function place(fleet: SimFleet, connection: SessionEndpoint, after?: string): Promise<string> {
  const answer = await resultOf(fleet, connection.subscribe("notes/t1", after));
  return answer.outcome === "confirmed" ? answer.cursor : answer.outcome;
}

test("a connection's topics go with it: pulled, stopped and shipped, it goes on at the client's place", async () => {
  const { fleet } = await startTestFleet(71);
  const first = await connectSession(fleet, "vise-1", "desk");
  const start = await place(fleet, first.connection);
  expect((await resultOf(fleet, first.connection.publish("notes/t1", 1, "one"))).outcome).toEqual("accepted");
  expect(await fleet.until(() => first.wire.numbers().length === 1, 2000)).toEqual(true);

  const steps: string[] = [];
  fleet.find("vise-1")!.edge!.sessions.on("step", (step) => steps.push(step));
  fleet.find("vise-2")!.edge!.sessions.on("step", (step) => steps.push(step));
  const second = await connectSession(fleet, "vise-2", "desk");
  expect(steps).toEqual(["pull", "stopped", "shipped", "owner-written"]);
  expect([first.wire.isClosed, first.wire.lines.at(-1)!["kind"]]).toEqual([true, "goodbye"]);
  expect((await resultOf(fleet, first.connection.subscribe("notes/t2"))).outcome).toEqual("moved");

  // Nothing is delivered that this connection did not ask for, and the place decides where it goes on.
  expect((await resultOf(fleet, second.connection.publish("notes/t1", 2, "two"))).outcome).toEqual("accepted");
  await fleet.run(500);
  expect(second.wire.lines).toEqual([]);
  let linesBefore = -1;
  const confirmed = second.connection.subscribe("notes/t1", start).then((answer) => {
    linesBefore = second.wire.lines.length;
    return answer;
  });
  expect(await resultOf(fleet, confirmed)).toEqual({ outcome: "confirmed", cursor: start });
  expect(linesBefore).toEqual(0);
  expect(await fleet.until(() => second.wire.numbers().length === 2, 2000)).toEqual(true);
  expect(second.wire.numbers()).toEqual([1, 2]);
  expect((await resultOf(fleet, second.connection.publish("notes/t1", 1, "one"))).outcome).toEqual("accepted");
  expect(await place(fleet, second.connection, "no place")).toEqual(start.replace(/\d+$/, "2"));
});

test("each wrong topic or place is answered by itself, and a topic that was left gives nothing more", async () => {
  const { fleet } = await startTestFleet(72);
  const { wire, connection } = await connectSession(fleet, "vise-1", "desk");
  const asked = ["notes/t1", "nowhere/t1", "notes/t2", "a blank/t"].map((topic) =>
    connection.subscribe(topic, topic === "notes/t2" ? "malformed" : undefined),
  );
  const outcomes = (await resultOf(fleet, Promise.all(asked))).map(({ outcome }) => outcome);
  expect(outcomes).toEqual(["confirmed", "unknown-topic", "malformed-place", "malformed"]);
  expect((await resultOf(fleet, connection.unsubscribe("notes/t1"))).outcome).toEqual("done");
  expect((await resultOf(fleet, connection.publish("notes/t1", 1, "one"))).outcome).toEqual("accepted");
  await fleet.run(1000);
  expect(wire.numbers()).toEqual([]);
  const refused = await resultOf(fleet, connection.publish("nowhere/t1", 2, "two"));
  expect([refused.outcome, "code" in refused && refused.code]).toEqual(["refused", "unknown-topic"]);
});

test("a publish that no leader took is away; one whose earlier try may have been taken is never promised", async () => {
  const { fleet } = await startTestFleet(73);
  const { connection } = await connectSession(fleet, "vise-1", "desk");
  expect((await resultOf(fleet, connection.publish("notes/t1", 1, "one"))).outcome).toEqual("accepted");
  // Both ways to the leaders go while the edge's own lease holds.
  fleet.isolate("vise-1", ["anvil-1", "anvil-2", "anvil-3", "lathe-1", "lathe-2", "lathe-3"], "in");
  expect((await resultOf(fleet, connection.publish("notes/t1", 2, "two"))).outcome).toEqual("unsure");
  expect((await resultOf(fleet, connection.publish("notes/t1", 2, "two"))).outcome).toEqual("unsure");
});

test("a client that comes before its edge has a lease waits for it, and is not sent away over and over", async () => {
  const { fleet } = await startTestFleet(74);
  fleet.kill("vise-1");
  await fleet.run(100);
  const { edge } = fleet.start("vise-1");
  expect(edge!.lease.isHeld).toEqual(false);
  const answer = await resultOf(fleet, new EdgeClientEndpoint(edge!).connect("desk", new EndpointConnection()));
  expect(answer.outcome).toEqual("open");
});

// Guards against crowds that come back late: every refusal makes the pause before a client's next try longer.
test("a client that comes shortly before the store has a leader again is admitted, not refused", async () => {
  const { fleet } = await startTestFleet(76);
  const { edge, node } = fleet.find("vise-1")!;
  for (const controlNode of fleet.withRole("lathe")) fleet.isolate(controlNode, fleet.names, "both");
  expect(await fleet.until(() => !node.feed.isFresh, 3000)).toEqual(true);
  const connecting = new EdgeClientEndpoint(edge!).connect("desk", new EndpointConnection());
  await fleet.run(600);
  fleet.wires.heal();
  expect((await resultOf(fleet, connecting)).outcome).toEqual("open");
});

// The same at the moment when the store's leader is lost and the edge is still in touch: claims are tried again.
test("a client that comes while the store elects a leader is admitted, not refused", async () => {
  const { fleet } = await startTestFleet(78);
  const { edge, node } = fleet.find("vise-1")!;
  const call = node.store.call.bind(node.store);
  const electedAt = fleet.world.now + 1100;
  node.store.call = (change, timeoutMs) =>
    change.case === "claimOwners" && fleet.world.now < electedAt
      ? Promise.resolve({ outcome: "away" })
      : call(change, timeoutMs);
  const answer = await resultOf(fleet, new EdgeClientEndpoint(edge!).connect("desk", new EndpointConnection()));
  expect(answer.outcome).toEqual("open");
});

// Guards against a call to the store for each of a crowd of sessions that come back to an edge that was restarted.
test("sessions that are found under an earlier lease of their edge give it up once, and are admitted", async () => {
  const { fleet } = await startTestFleet(77);
  const names = ["desk", "pen", "ink"];
  for (const name of names) await connectSession(fleet, "vise-1", name);
  fleet.kill("vise-1");
  await fleet.run(100);
  const { edge, node } = fleet.start("vise-1");
  expect(await fleet.until(() => edge!.isReady, 3000)).toEqual(true);
  const call = node.store.call.bind(node.store);
  let revokeCount = 0;
  node.store.call = (change, timeoutMs) => {
    if (change.case === "revoke") revokeCount += 1;
    return call(change, timeoutMs);
  };
  const endpoint = new EdgeClientEndpoint(edge!);
  const answers = await resultOf(
    fleet,
    Promise.all(names.map((name) => endpoint.connect(name, new EndpointConnection()))),
  );
  expect(answers.map(({ outcome }) => outcome)).toEqual(["open", "open", "open"]);
  expect(revokeCount).toEqual(1);
});

test("a topic that was left and asked for again, before it joined, goes on at the later place", async () => {
  const { fleet } = await startTestFleet(75);
  const pen = await connectSession(fleet, "vise-1", "pen");
  const start = await place(fleet, pen.connection);
  for (const number of [1, 2, 3])
    expect((await resultOf(fleet, pen.connection.publish("notes/t1", number, "x"))).outcome).toEqual("accepted");
  const { wire, connection } = await connectSession(fleet, "vise-2", "desk");
  const later = start.replace(/\d+$/, "3");
  const again = connection.subscribe("notes/t1", start).then(async (first) => {
    expect(first.outcome).toEqual("confirmed");
    await connection.unsubscribe("notes/t1");
    return connection.subscribe("notes/t1", later);
  });
  expect(await resultOf(fleet, again)).toEqual({ outcome: "confirmed", cursor: later });
  expect((await resultOf(fleet, pen.connection.publish("notes/t1", 4, "x"))).outcome).toEqual("accepted");
  expect(await fleet.until(() => wire.numbers().includes(4), 2000)).toEqual(true);
  expect(wire.numbers()).toEqual([4]);
});
