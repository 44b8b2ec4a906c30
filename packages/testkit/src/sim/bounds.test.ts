import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { StreamLog } from "@cranetrack/log-storage/shards/streamLog.js";
import { AcceptSchema, StreamMessageSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ChangeJournal } from "@cranetrack/core/feeds/changeJournal.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { Sessions } from "@cranetrack/edge/sessions/sessions.js";
import { StreamTail } from "@cranetrack/edge/fanout/streamTail.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { expect } from "earl";
import { TestClient, startTestFleet } from "./testClient.js";

const incarnation = "1-0123456789";

test("what was sent before is known for a time, and forgotten with its session", () => {
  const log = new StreamLog("notes/t1", incarnation);
  for (let number = 1; number <= 1000; number += 1) {
    const accept = { topic: "notes/t1", session: `s${number % 3}`, number, ownerEpoch: 1, at: number };
    expect(log.accept(create(AcceptSchema, accept)).kind).toEqual("accepted");
  }
  expect(log.sessionCount).toEqual(3);
  const count = (kind: string): number =>
    Array.from({ length: 1000 }, (_, i) => log.findVerdict("notes/t1", `s${(i + 1) % 3}`, i + 1)?.kind).filter(
      (one) => one === kind,
    ).length;
  expect([count("accepted"), log.hasNumbersBefore(401), log.hasNumbersBefore(1)]).toEqual([1000, true, false]);
  log.forgetNumbers(401);
  // What is forgotten may have been accepted, so nothing is promised of it.
  expect([count("accepted"), count("unknown"), log.hasNumbersBefore(401)]).toEqual([600, 400, false]);
  log.forgetNumbers(1001);
  expect(count("accepted")).toEqual(3 * StreamLog.minKnownNumbers);
  expect(count("unknown")).toEqual(1000 - 3 * StreamLog.minKnownNumbers);
  log.trim(990);
  expect([log.messages.length, log.low, log.trims.get("notes/t1")]).toEqual([10, 990, 990]);
  log.forgetSessions(1001);
  expect(log.sessionCount).toEqual(0);
});

test("an edge's tail, a journal and a log ring keep their newest, and no more than they say", () => {
  const tail = new StreamTail({ stream: "6:notes/t1", space: "notes/", spaceIncarnation: 1 }, 0);
  tail.confirmHead(incarnation, 0, 0);
  const sizeOf = (): number => tail.messages.reduce((sum, one) => sum + one.payload.length, 0);
  for (let seq = 1; seq <= 3000; seq += 1) {
    const payload = new Uint8Array(seq > 2000 ? 60_000 : 10);
    tail.extend(incarnation, [create(StreamMessageSchema, { seq, payload })]);
    expect(tail.messages.length <= StreamTail.maxMessages && sizeOf() <= StreamTail.maxBytes).toEqual(true);
  }
  expect(tail.messages.at(-1)!.seq).toEqual(3000);
  const journal = new ChangeJournal<number>(50);
  for (let i = 0; i < 1000; i += 1) {
    journal.append(i);
    expect(journal.recent.length <= 100).toEqual(true);
  }
  expect(journal.recent.at(-1)).toEqual(999);
  const logBuffer = new LogBuffer("test", () => undefined, 20);
  for (let i = 0; i < 1000; i += 1) logBuffer.note(`line ${i}`);
  expect([logBuffer.lines.length, logBuffer.lines.at(-1)!.includes("line 999")]).toEqual([20, true]);
});

test("sessions without a connection are given back, and states that were shipped are forgotten", async () => {
  const { fleet } = await startTestFleet(64);
  const request = { subscriptions: [{ topic: "notes/t1" }] };
  const clients = Array.from({ length: 8 }, (_, i) => new TestClient(fleet, "vise-1", `desk-${i}`, request));
  expect(await fleet.until(() => clients.every((client) => client.linesOf("confirmed").length === 1), 6000)).toEqual(
    true,
  );
  const moved = clients.map((_, i) => new TestClient(fleet, "vise-2", `desk-${i}`, request));
  expect(await fleet.until(() => moved.every((client) => client.linesOf("confirmed").length === 1), 6000)).toEqual(
    true,
  );
  const [old, young] = ["vise-1", "vise-2"].map((name) => fleet.find(name)!.edge!.sessions);
  expect([old!.table.size, old!.shippedStateCount, young!.table.size]).toEqual([0, 8, 8]);
  for (const client of moved) client.close();
  await fleet.run(Sessions.keepIdleMs + 2500);
  expect([old!.shippedStateCount, young!.table.size]).toEqual([0, 0]);
  await fleet.run(Sessions.keepShippedMs + 2500);
  const owners = ["lathe-1", "lathe-2", "lathe-3"].flatMap((name) =>
    fleet
      .find(name)!
      .control!.raft!.metadata.range("sessions/")
      .filter(({ key }) => OwnerKey.sessionOf(key) !== undefined),
  );
  expect([young!.shippedStateCount, owners.length]).toEqual([0, 0]);
});
