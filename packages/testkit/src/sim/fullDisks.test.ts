import { test } from "node:test";
import { expect } from "earl";
import { ShardLeader } from "@cranetrack/log-storage/shards/shardLeader.js";
import { StreamTrimmer } from "@cranetrack/log-storage/shards/streamTrimmer.js";
import { TestClient, startTestFleet, type Line, type TestFleet } from "./testClient.js";

/** The largest body that the users' protocol has. */
const bodyBytes = 16 * 1024;
/** Room for about sixty such messages with everything else that the fleet stores. */
const diskBytes = 3_000_000;
/** The time in which an operator's change has to be acknowledged. */
const changeAckMs = 6000;
const topics = ["notes/t1", "notes/t2", "notes/t3"];

/** Messages expire as early as the log can forget them. */
function keepShortly(spaces: Record<string, Array<{ contract: Line }>>): void {
  spaces["notes"]![0]!.contract["keep"] = StreamTrimmer.minRetentionMs / 1000;
}

/** Starts a fleet whose storage machines have small disks, with a session at each of two edges. */
async function startWithSmallDisks(seed: number, bytesOf: (name: string) => number): Promise<TestFleet> {
  const test = await startTestFleet(seed);
  const { fleet } = test;
  for (const name of fleet.withRole("anvil")) fleet.diskOf(name).limitBytes = bytesOf(name);
  const reply = await test.configuration(["notes", "notices", "extra"], keepShortly);
  expect(reply["status"]).toEqual(200);
  const client = new TestClient(fleet, "vise-1", "desk", { subscriptions: [] });
  expect(await fleet.until(() => client.linesOf("open").length > 0, 5000)).toEqual(true);
  return test;
}

/** Publishes a message of the largest size; the numbers are the session's own. */
function publishLarge({ ask }: TestFleet, number: number, topic = topics[number % topics.length]!): Promise<Line> {
  const body = JSON.stringify({ topic, number, payload: `${number} `.padEnd(bodyBytes, "x") });
  return ask("vise-1", "POST", "/v1/sessions/desk/messages", body);
}

/** Publishes until five messages in a row were refused; returns how many were accepted, and these refusals. */
async function fill(test: TestFleet, from: number): Promise<{ accepted: number; refusals: Line[] }> {
  let accepted = 0;
  let refusals: Line[] = [];
  for (let number = from; refusals.length < 5; number += 1) {
    const reply = await publishLarge(test, number);
    const isAccepted = reply["receipt"] === "accepted";
    accepted += isAccepted ? 1 : 0;
    refusals = isAccepted ? [] : [...refusals, reply];
    if (number - from > 1000) throw new Error("the disks are never full");
  }
  return { accepted, refusals };
}

/** Sends a configuration and returns how long it took until it was acknowledged. */
async function changeMs(test: TestFleet): Promise<number> {
  const sentAt = test.fleet.world.now;
  const reply = await test.configuration(["notes", "notices", "extra"], keepShortly);
  expect(reply["status"]).toEqual(200);
  return test.fleet.world.now - sentAt;
}

const isRefusedForRoom = (reply: Line): boolean => (reply["error"] as Line | undefined)?.["code"] === "no-room";

/** Waits until a message is accepted again; every wait is a message with a number of its own. */
async function waitUntilAccepted(test: TestFleet, from: number, timeoutMs: number): Promise<boolean> {
  const end = test.fleet.world.now + timeoutMs;
  for (let number = from; test.fleet.world.now < end; number += 1) {
    if ((await publishLarge(test, number))["receipt"] === "accepted") return true;
    await test.fleet.run(1000);
  }
  return false;
}

/** Time within which expired messages have been trimmed and their room is free. */
const retentionMs = StreamTrimmer.minRetentionMs + 2 * StreamTrimmer.logIntervalMs;

// Guards against Acks (review/6): the disks filled up, and then nothing was accepted any more, not even what would have
// freed room.
test("publishes are refused before the disks are full, changes go on, and service returns by itself", async () => {
  const test = await startWithSmallDisks(9301, () => diskBytes);
  const { accepted, refusals } = await fill(test, 1);
  expect(accepted > 30).toEqual(true);
  expect(refusals.every(({ status }) => status === 503)).toEqual(true);
  expect(refusals.some(isRefusedForRoom)).toEqual(true);
  expect((await changeMs(test)) <= changeAckMs).toEqual(true);
  for (const name of test.fleet.withRole("anvil")) expect(test.fleet.diskOf(name).bytes <= diskBytes).toEqual(true);
  expect(await waitUntilAccepted(test, 10_000, retentionMs)).toEqual(true);
  expect((await fill(test, 20_000)).accepted > 10).toEqual(true);
  expect((await changeMs(test)) <= changeAckMs).toEqual(true);
});

test("storage machines that restart while their disks are nearly full serve, and have room again in time", async () => {
  const test = await startWithSmallDisks(9302, () => diskBytes);
  const { fleet } = test;
  await fill(test, 1);
  for (const name of fleet.withRole("anvil")) fleet.kill(name);
  await fleet.run(500);
  for (const name of fleet.withRole("anvil")) fleet.start(name);
  await fleet.run(5000);
  expect((await changeMs(test)) <= changeAckMs).toEqual(true);
  expect(await waitUntilAccepted(test, 10_000, retentionMs)).toEqual(true);
});

test("one full machine stops nobody else, and has everything again once it has room", async () => {
  const test = await startWithSmallDisks(9303, (name) => (name === "anvil-1" ? diskBytes / 3 : 10 * diskBytes));
  const { fleet } = test;
  const leaderOf = (topic: string): string => {
    const { node, edge } = fleet.find("vise-1")!;
    return node.shards.find(edge!.streams.shardOf(node.configuration.route(topic)!.stream)).leader;
  };
  const topic = topics.find((one) => leaderOf(one) !== "anvil-1")!;
  for (let number = 1; number <= 120; number += 1)
    expect((await publishLarge(test, number, topic))["receipt"]).toEqual("accepted");
  await fleet.run(2 * ShardLeader.idleHeartbeatMs);
  const { node, edge } = fleet.find("vise-1")!;
  const shard = edge!.streams.shardOf(node.configuration.route(topic)!.stream);
  const behind = (): number =>
    fleet.find(leaderOf(topic))!.storage!.replicas[shard]!.log.lastIndex -
    fleet.find("anvil-1")!.storage!.replicas[shard]!.log.syncedIndex;
  expect(behind() > 0).toEqual(true);
  expect(fleet.diskOf("anvil-1").bytes <= diskBytes / 3).toEqual(true);
  expect((await changeMs(test)) <= changeAckMs).toEqual(true);
  expect(await fleet.until(() => behind() === 0, retentionMs + 10_000)).toEqual(true);
});

test("a machine with a blank disk catches up while the others are nearly full", async () => {
  const test = await startWithSmallDisks(9304, () => diskBytes);
  const { fleet } = test;
  const { accepted } = await fill(test, 1);
  fleet.wipe("anvil-2");
  fleet.start("anvil-2");
  fleet.diskOf("anvil-2").limitBytes = diskBytes;
  const messages = (name: string): number =>
    fleet
      .find(name)!
      .storage!.replicas.flatMap(({ state }) => [...state.streams.values()])
      .reduce((sum, log) => sum + log.messages.length, 0);
  expect(await fleet.until(() => messages("anvil-2") === accepted, 30_000)).toEqual(true);
  expect((await changeMs(test)) <= changeAckMs).toEqual(true);
  expect(await waitUntilAccepted(test, 10_000, retentionMs)).toEqual(true);
});
