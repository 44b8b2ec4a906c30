import { test } from "node:test";
import type { SessionEndpoint, PublishResult } from "@cranetrack/edge/connections/clientEndpoint.js";
import { EdgeClientEndpoint } from "@cranetrack/edge/connections/edgeClientEndpoint.js";
import { expect } from "earl";
import { TestClient, startTestFleet, type TestFleet } from "./testClient.js";
import type { SimFleet } from "./simFleet.js";
import { SimConfigurations } from "./simConfigurations.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

async function resultOf<T>(fleet: SimFleet, call: Promise<T>): Promise<T> {
  let answer: { value: T } | undefined;
  void call.then((value) => (answer = { value }));
  expect(await fleet.until(() => answer !== undefined, 6000)).toEqual(true);
  return answer!.value;
}

async function open(fleet: SimFleet): Promise<SessionEndpoint> {
  const connection = { bufferedBytes: 0, isClosed: false, send: () => undefined, close: () => undefined };
  const connections = new EdgeClientEndpoint(fleet.find("vise-1")!.edge!);
  const answer = await resultOf(fleet, connections.connect("desk", { ...connection, onClose: () => undefined }));
  if (answer.outcome !== "open") throw new Error(`not connected: ${JSON.stringify(answer)}`);
  return answer.connection;
}

/** The usual configuration with changes of all its spaces and of itself, taken up by the edge. */
async function change(
  { fleet, load, ask }: TestFleet,
  space: object,
  limits: object,
  contract: object = {},
): Promise<void> {
  const configuration = SimConfigurations.write(load.nextVersion, SimConfigurations.usual());
  for (const one of configuration.spaces as Array<{ program: Array<{ contract: object }> }>) {
    Object.assign(one, space);
    for (const rule of one.program) Object.assign(rule.contract, contract);
  }
  expect((await ask("lathe-2", "PUT", "/v1/plan", documentTextOf({ ...configuration, limits })))["status"]).toEqual(
    200,
  );
  await fleet.run(1000);
}

test(
  "a connection has as many topics as the configuration says, over either interface; " + "one left makes room",
  async () => {
    const place = await startTestFleet(95);
    const { fleet, ask } = place;
    await change(place, {}, { subscriptions: 2 });
    const connection = await open(fleet);
    const subscribe = async (topic: string): Promise<string> =>
      (await resultOf(fleet, connection.subscribe(`notes/${topic}`))).outcome;
    expect([await subscribe("t1"), await subscribe("t2"), await subscribe("t3")]).toEqual([
      "confirmed",
      "confirmed",
      "too-many",
    ]);
    await resultOf(fleet, connection.unsubscribe("notes/t1"));
    expect(await subscribe("t3")).toEqual("confirmed");

    const topics = ["notes/t1", "notes/t2", "notes/t3"];
    const client = new TestClient(fleet, "vise-2", "other", { subscriptions: topics.map((topic) => ({ topic })) });
    await fleet.run(1500);
    expect(client.linesOf("confirmed").map(({ topic }) => topic)).toEqual(topics.slice(0, 2));
    expect(client.linesOf("fault").map(({ topic, code }) => [topic, code])).toEqual([["notes/t3", "too-many"]]);
    const one = (): Promise<Record<string, unknown>> =>
      ask("vise-2", "POST", "/v1/sessions/other/subscriptions", JSON.stringify({ topic: "notes/t3" }));
    expect((await one())["status"]).toEqual(409);
    await change(place, {}, { subscriptions: 3 });
    expect([(await one())["status"], await subscribe("t1")]).toEqual([200, "confirmed"]);
  },
);

test("a payload above the configuration's limit is refused, also where a contract allows more", async () => {
  const place = await startTestFleet(96);
  await change(place, {}, { payloadBytes: 8 }, { maxBytes: 100 });
  const connection = await open(place.fleet);
  const publish = (number: number, length: number): Promise<PublishResult> =>
    resultOf(place.fleet, connection.publish("notes/t1", number, "x".repeat(length)));
  expect((await publish(1, 8)).outcome).toEqual("accepted");
  expect(await publish(2, 9)).toEqual(expect.subset({ outcome: "refused", code: "too-large" }));
  await change(place, {}, { payloadBytes: 1000 }, { maxBytes: 100 });
  expect((await publish(3, 100)).outcome).toEqual("accepted");
  expect(await publish(4, 101)).toEqual(expect.subset({ outcome: "refused", code: "too-large" }));
});

test("the final answer to a publish goes out well before its space's deadline, whatever is missing", async () => {
  const place = await startTestFleet(97);
  const { fleet } = place;
  await change(place, { deadlineMs: 400 }, {});
  const connection = await open(fleet);
  const publish = async (number: number): Promise<[outcome: string, isInTime: boolean]> => {
    const began = fleet.world.now;
    let took = Infinity;
    const answer = connection.publish("notes/t1", number, "one").then((published) => {
      took = fleet.world.now - began;
      return published.outcome;
    });
    return [await resultOf(fleet, answer), took <= 200];
  };
  expect(await publish(1)).toEqual(["accepted", true]);
  const leaders = fleet.names.filter((name) => !name.startsWith("vise"));
  fleet.isolate("vise-1", leaders, "in");
  expect(await publish(2)).toEqual(["unsure", true]);
  // A publish given up at its own deadline says nothing of the leader.
  expect(leaders.filter((name) => fleet.find("vise-1")!.node.rpc.isUnresponsive(name))).toEqual([]);
  fleet.wires.heal();
  expect(await publish(2)).toEqual(["accepted", true]);
  for (const name of fleet.withRole("anvil")) fleet.kill(name);
  await fleet.run(5000);
  expect((await publish(3))[1]).toEqual(true);
});
