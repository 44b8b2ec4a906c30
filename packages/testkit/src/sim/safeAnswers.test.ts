import { test } from "node:test";
import { expect } from "earl";
import { TestClient, startTestFleet, type Line, type TestFleet } from "./testClient.js";

/** A space that keeps its messages and a live one with one order, in which doubts cost most. */
const topics = ["orders/t1", "scores/t1"] as const;
const sessionCount = 60;
/** Publishes that a client has under way at once. */
const pipelineDepth = 8;
const edges = ["vise-1", "vise-2", "vise-3"];

async function start(seed: number): Promise<TestFleet> {
  const test = await startTestFleet(seed);
  const reply = await test.configuration(["orders", "scores"], (spaces: Record<string, Array<{ contract: Line }>>) => {
    for (const [space, keep] of [
      ["orders", 120],
      ["scores", 0],
    ] as const)
      spaces[space] = [{ when: {}, contract: { keep, order: "topic", fault_budget: {} } } as { contract: Line }];
  });
  expect(reply["status"]).toEqual(200);
  await test.fleet.run(1000);
  return test;
}

const sessions = Array.from({ length: sessionCount }, (_, i) => `pen-${i}`);
const edgeOf = (i: number): string => edges[i % edges.length]!;

/** Connects all sessions, each at its edge shifted by `shift`, and waits until all are admitted. */
async function connectAll({ fleet }: TestFleet, shift = 0): Promise<TestClient[]> {
  const clients = sessions.map(
    (session, i) => new TestClient(fleet, edgeOf(i + shift), session, { subscriptions: [] }),
  );
  expect(await fleet.until(() => clients.every((client) => client.linesOf("open").length > 0), 10_000)).toEqual(true);
  return clients;
}

/** Publishes these numbers of all sessions in both topics without waiting; returns how often each status came. */
async function publishAll(test: TestFleet, numbers: readonly number[], shift = 0): Promise<Record<number, number>> {
  const counts: Record<number, number> = {};
  let pending = 0;
  for (const topic of topics)
    for (const [i, session] of sessions.entries())
      for (const number of numbers) {
        pending += 1;
        const body = JSON.stringify({ topic, number, payload: `${number}` });
        void test.fleet.port
          .call(edgeOf(i + shift), "POST", `/v1/sessions/${session}/messages`, body)
          .then(({ status }) => {
            pending -= 1;
            counts[status] = (counts[status] ?? 0) + 1;
          });
      }
  expect(await test.fleet.until(() => pending === 0, 10_000)).toEqual(true);
  return counts;
}

/** The shard of each topic, and its leader. */
function shardsOf({ fleet }: TestFleet): Array<{ shard: number; leader: string }> {
  const { node, edge } = fleet.find("vise-3")!;
  return topics.map((topic) => {
    const shard = edge!.streams.shardOf(node.configuration.route(topic)!.stream);
    return { shard, leader: node.shards.find(shard).leader };
  });
}

const firstNumbers = Array.from({ length: pipelineDepth }, (_, i) => i + 1);
const nextNumbers = firstNumbers.map((number) => number + pipelineDepth);
const allOf = (numbers: readonly number[]): number => topics.length * sessionCount * numbers.length;

test("new sessions on a calm day have no number in doubt", async () => {
  const test = await start(9501);
  await connectAll(test);
  expect(await publishAll(test, firstNumbers)).toEqual({ 200: allOf(firstNumbers) });
  expect(await publishAll(test, nextNumbers)).toEqual({ 200: allOf(nextNumbers) });
});

for (const shift of [0, 1])
  test(`a crowd that returns to ${shift === 0 ? "its" : "other"} edges has its numbers answered at once`, async () => {
    const test = await start(9502 + shift);
    const before = await connectAll(test);
    expect(await publishAll(test, firstNumbers)).toEqual({ 200: allOf(firstNumbers) });
    for (const client of before) client.close();
    await test.fleet.run(300);
    await connectAll(test, shift);
    // All acknowledgements were lost: every number comes again, and then new ones.
    expect(await publishAll(test, firstNumbers, shift)).toEqual({ 200: allOf(firstNumbers) });
    expect(await publishAll(test, nextNumbers, shift)).toEqual({ 200: allOf(nextNumbers) });
  });

test("new numbers and new sessions are in no doubt under a leader that has just begun", async () => {
  const test = await start(9504);
  const { fleet } = test;
  await connectAll(test);
  expect(await publishAll(test, firstNumbers)).toEqual({ 200: allOf(firstNumbers) });
  const former = shardsOf(test);
  for (const { shard, leader } of former)
    void fleet.find(leader)!.storage!.leadership!.release(shard, "the test says so");
  const hasNewLeaders = (): boolean =>
    shardsOf(test).every(({ leader }, i) => leader !== "" && leader !== former[i]!.leader);
  expect(await fleet.until(hasNewLeaders, 9000)).toEqual(true);
  // Until the new leaders serve at all.
  await fleet.run(1000);
  expect(await publishAll(test, nextNumbers)).toEqual({ 200: allOf(nextNumbers) });
  const late = new TestClient(fleet, "vise-1", "late", { subscriptions: [] });
  expect(await fleet.until(() => late.linesOf("open").length > 0, 5000)).toEqual(true);
  for (const topic of topics) expect((await test.publish("late", 1, "vise-1", topic))["status"]).toEqual(200);
});

test("without a leader, new numbers are promised to be undone, and only repeated ones are in doubt", async () => {
  const test = await start(9505);
  const { fleet } = test;
  await connectAll(test);
  expect(await publishAll(test, firstNumbers)).toEqual({ 200: allOf(firstNumbers) });
  for (const name of fleet.withRole("anvil")) fleet.kill(name);
  expect(await fleet.until(() => shardsOf(test).every(({ leader }) => leader === ""), 9000)).toEqual(true);
  // Until every edge has heard of it.
  await fleet.run(1000);
  expect(await publishAll(test, nextNumbers)).toEqual({ 503: allOf(nextNumbers) });
  expect(await publishAll(test, firstNumbers)).toEqual({ 504: allOf(firstNumbers) });
});
