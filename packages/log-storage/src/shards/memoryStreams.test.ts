import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { AcceptSchema, TopicCursorSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { expect } from "earl";
import { startInMemory } from "./streamReads.js";
import { MemoryStreams } from "./memoryStreams.js";

const redeliveryMs = 15_000;
const sessionRetentionMs = 600_000;
const stream = "notes/t1";
const base = { identity: "0123456789", seq: 7 };
let identityCount = 0;
const nextIdentity = (): string => (identityCount += 1).toString(16).padStart(10, "0");
const createStreams = (): MemoryStreams => new MemoryStreams(nextIdentity, redeliveryMs);

function publish(streams: MemoryStreams, number: number, at = 0, bytes = 1): string {
  const log = streams.findOrCreate(stream, 1, base, at)!;
  const accept = { topic: stream, stream, incarnation: log.incarnation, session: "pen", number, at };
  return streams.accept(create(AcceptSchema, { ...accept, payload: new Uint8Array(bytes) })).kind;
}

test("a stream keeps its incarnation as long as its space does, and never returns to an earlier one", () => {
  const streams = createStreams();
  const first = streams.findOrCreate(stream, 1, base, 0)!;
  expect(streams.findOrCreate(stream, 1, base, 0)).toEqual(first);
  const second = streams.findOrCreate(stream, 2, base, 0)!;
  expect(second.incarnation === first.incarnation).toEqual(false);
  expect(streams.findOrCreate(stream, 1, base, 0)).toEqual(undefined);
});

test("only a bounded tail is kept, and nothing is removed before it was pushed", () => {
  const streams = createStreams();
  for (let number = 1; number <= 1000; number += 1) expect(publish(streams, number)).toEqual("accepted");
  expect(streams.find(stream)!.messages.length).toEqual(1000);
  streams.trim([stream]);
  const log = streams.find(stream)!;
  expect([log.messages.length, log.low, log.head]).toEqual([MemoryStreams.maxTailMessages, 800, 1000]);
  streams.expire(MemoryStreams.tailRetentionMs + 1, sessionRetentionMs, redeliveryMs, () => true);
  expect([log.messages.length, log.low, log.head]).toEqual([0, 1000, 1000]);
  for (let number = 1001; number <= 1100; number += 1) publish(streams, number, 20_000, 65_536);
  streams.trim([stream]);
  expect(log.messages.length).toEqual(MemoryStreams.maxTailBytes / 65_536);
});

test("numbers are known for ten minutes, and an unused stream is forgotten with them", () => {
  const streams = createStreams();
  expect([publish(streams, 7), publish(streams, 7), publish(streams, 6)]).toEqual(["accepted", "accepted", "refused"]);
  expect(streams.find(stream)!.head).toEqual(1);
  streams.expire(sessionRetentionMs, sessionRetentionMs, redeliveryMs, () => false);
  expect(publish(streams, 6, sessionRetentionMs)).toEqual("refused");
  streams.expire(2 * sessionRetentionMs + 1, sessionRetentionMs, redeliveryMs, () => true);
  expect([streams.find(stream)?.sessionCount, streams.count]).toEqual([0, 1]);
  streams.expire(2 * sessionRetentionMs + 1, sessionRetentionMs, redeliveryMs, () => false);
  expect(streams.count).toEqual(0);
});

// Guards against ORDER (review/3): only the last 128 numbers were known, and an older one that a client repeated in
// time was refused as never taken.
test("a number that a busy publisher repeats in time is known, in memory as in the log", () => {
  const streams = createStreams();
  for (let number = 1; number <= 3000; number += 1) publish(streams, number, number);
  streams.trim([stream]);
  streams.expire(3000, sessionRetentionMs, redeliveryMs, () => true);
  expect([publish(streams, 1, 3000), publish(streams, 2000, 3000), streams.find(stream)!.head]).toEqual([
    "accepted",
    "accepted",
    3000,
  ]);
  streams.expire(redeliveryMs + 2001, sessionRetentionMs, redeliveryMs, () => true);
  // What is forgotten may have been accepted, so nothing is promised of it.
  expect([publish(streams, 2000, 18_000), publish(streams, 2001, 18_000)]).toEqual(["unknown", "accepted"]);
});

test("a start is never refused or expired: it is in the tail if the cursor is, otherwise at the head", () => {
  const streams = createStreams();
  for (let number = 1; number <= 5; number += 1) publish(streams, number);
  const log = streams.find(stream)!;
  log.trim(2);
  const from = (incarnation: string, seq: number): unknown[] => {
    const { outcome, seq: start } = startInMemory(
      log,
      undefined,
      create(TopicCursorSchema, { topic: stream, incarnation, seq }),
    );
    return [outcome, start];
  };
  expect([
    from("", 0),
    from(log.incarnation, 3),
    from(log.incarnation, 1),
    from(log.incarnation, 99),
    from("2-0123456789", 1),
  ]).toEqual([
    ["known", 5],
    ["known", 3],
    ["known", 2],
    ["known", 5],
    ["known", 5],
  ]);
});

// Guards against ORDER (issue 42): a number that was taken in memory was repeated after its space had begun to keep
// messages, and was delivered twice.
test("a retired stream knows its numbers while they may be repeated, and resumes at the end of its log", () => {
  const streams = createStreams();
  expect([publish(streams, 7), publish(streams, 8)]).toEqual(["accepted", "accepted"]);
  const first = streams.find(stream)!;
  streams.retire(stream, 1000);
  expect([streams.find(stream), streams.count, streams.all()]).toEqual([undefined, 0, []]);
  const known = (number: number): unknown => streams.numbersOf(stream, 1)?.findVerdict(stream, "pen", number)?.kind;
  expect([known(7), streams.numbersOf(stream, 2)]).toEqual(["accepted", undefined]);
  streams.expire(1000 + redeliveryMs, sessionRetentionMs, redeliveryMs, () => false);
  expect(streams.findOrCreate(stream, 1, base, 2000)).toEqual(first);
  streams.retire(stream, 3000);
  const later = streams.findOrCreate(stream, 1, { ...base, seq: 9 }, 4000)!;
  expect([later.incarnation.startsWith("9-0123456789"), later.incarnation === first.incarnation]).toEqual([
    true,
    false,
  ]);
  expect([later.head, later.messages.length, later.findVerdict(stream, "pen", 8)?.kind]).toEqual([0, 0, "accepted"]);
  streams.retire(stream, 5000);
  streams.expire(5001 + redeliveryMs, sessionRetentionMs, redeliveryMs, () => true);
  expect(known(8)).toEqual(undefined);
});
