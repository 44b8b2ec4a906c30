import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import { AcceptSchema, TopicCursorSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { StreamLog } from "./streamLog.js";
import { startInLog, startInMemory } from "./streamReads.js";

const topic = "a";
const stream = "0:a";
const logId = "0123456789";
const noLog = Incarnations.noLogIdentity(stream);

function logWithMessages(incarnation: string, count: number): StreamLog {
  const log = new StreamLog(stream, incarnation);
  for (let number = 1; number <= count; number += 1)
    log.accept(
      create(AcceptSchema, { topic, stream, incarnation, session: "pen", number, at: number, keepMs: 60_000 }),
    );
  return log;
}

const cursor = (incarnation: string, seq: number): ReturnType<typeof create<typeof TopicCursorSchema>> =>
  create(TopicCursorSchema, { topic, incarnation, seq, configurationVersion: 9 });
const inMemory = (identity: string, seq: number): string => Incarnations.inMemory({ identity, seq }, "aaaaaaaaaa");

// Guards against LOST (issue 42): cursors issued while the space kept nothing were reported as expired.
test("a cursor in memory stands for a position in the log it is based on; those of other streams have none", () => {
  const log = logWithMessages(`1-${logId}`, 5);
  const at = (incarnation: string, seq: number): unknown[] => {
    const { outcome, seq: start } = startInLog(log, cursor(incarnation, seq));
    return outcome === "known" ? [outcome, start] : [outcome];
  };
  expect(at(inMemory(logId, 3), 77)).toEqual(["known", 3]);
  expect(at(inMemory(noLog, 0), 77)).toEqual(["known", 0]);
  expect(at(`2a-${logId}`, 4)).toEqual(["known", 4]);
  expect(at("", 0)).toEqual(["known", 5]);
  expect(at(inMemory(Incarnations.noLogIdentity("0:b"), 0), 1)).toEqual(["expired"]);
  expect([at(inMemory(logId, 6), 1), at(`1-${logId}`, 6)]).toEqual([["unknown-place"], ["unknown-place"]]);
  expect([at("1-9999999999", 1), at("ffffff-9999999999", 1)]).toEqual([["expired"], ["unknown-place"]]);
  log.trim(3);
  expect([at(inMemory(logId, 2), 77), at(inMemory(logId, 3), 77)]).toEqual([["expired"], ["known", 3]]);
});

test("where nothing is kept, a cursor in the log continues there, and any other starts at the head", () => {
  const log = logWithMessages(`1-${logId}`, 5);
  const memory = logWithMessages(inMemory(logId, 5), 3);
  const at = (incarnation: string, seq: number): unknown[] => {
    const { outcome, incarnation: of, seq: start } = startInMemory(memory, log, cursor(incarnation, seq));
    expect(outcome).toEqual("known");
    return [of === log.incarnation ? "log" : "memory", start];
  };
  expect([at("", 0), at(memory.incarnation, 2), at(memory.incarnation, 9)]).toEqual([
    ["memory", 3],
    ["memory", 2],
    ["memory", 3],
  ]);
  expect([at(log.incarnation, 2), at(log.incarnation, 5), at(inMemory(logId, 4), 99)]).toEqual([
    ["log", 2],
    ["log", 5],
    ["log", 4],
  ]);
  expect([at(`${inMemory(logId, 5).slice(0, -1)}b`, 99), at("1-9999999999", 2), at(log.incarnation, 6)]).toEqual([
    ["memory", 3],
    ["memory", 3],
    ["memory", 3],
  ]);
});

test("a log records how long its messages are kept, and hands its numbers on to another incarnation", () => {
  const log = logWithMessages(`1-${logId}`, 2);
  expect(log.keepMs).toEqual(60_000);
  const emptied = log.withoutMessages("1-9999999999");
  expect([emptied.head, emptied.messages.length, emptied.findVerdict(topic, "pen", 2)?.kind]).toEqual([
    0,
    0,
    "accepted",
  ]);
});
