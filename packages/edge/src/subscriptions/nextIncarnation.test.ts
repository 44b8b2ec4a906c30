import { test } from "node:test";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import { expect } from "earl";
import { nextIncarnation, type NextIncarnation } from "./nextIncarnation.js";

const stream = "0:a";
const log = "1-0123456789";
const laterLog = "1-9876543210";
const noLog = Incarnations.noLogIdentity(stream);

/** An incarnation in memory that began when the log with this identity was at `seq`. */
function inMemory(identity: string, seq: number, leaderIdentity = "aaaaaaaaaa"): string {
  return Incarnations.inMemory({ identity, seq }, leaderIdentity);
}

function next(incarnation: string, seq: number, present: string, low = 0): NextIncarnation {
  return nextIncarnation({ incarnation, seq }, { stream, incarnation: present, low });
}

const continueAt = (incarnation: string, seq: number): NextIncarnation => {
  return { kind: "continue", cursor: { incarnation, seq } };
};

// Guards against lost messages (issue 42): when a stream changed between log and memory, a reader continued at the head
// of the new incarnation, or was told that its cursor had expired.
test("a reader of an incarnation in memory continues in the log where the log was when that incarnation began", () => {
  expect(next(inMemory("0123456789", 7), 99, log)).toEqual(continueAt(log, 7));
  expect(next(inMemory(noLog, 0), 99, log)).toEqual(continueAt(log, 0));
  expect(next("2a-0123456789", 5, log)).toEqual(continueAt(log, 5));
});

test("a reader continues in memory once it has read what the log has from before", () => {
  const present = inMemory("0123456789", 7);
  expect(next(log, 7, present, 3)).toEqual(continueAt(present, 3));
  expect(next(log, 5, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 5 }, until: 7 });
  const earlier = inMemory("0123456789", 4, "bbbbbbbbbb");
  expect(next(earlier, 50, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 4 }, until: 7 });
  const first = inMemory(noLog, 0, "bbbbbbbbbb");
  expect(next(first, 50, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 0 }, until: 7 });
  expect(next(inMemory("0123456789", 7, "bbbbbbbbbb"), 50, present, 2)).toEqual(continueAt(present, 2));
});

test("a reader waits if the incarnation in memory began before what it has read", () => {
  expect(next(log, 8, inMemory("0123456789", 7))).toEqual({ kind: "wait" });
});

test("a log other than the one read is a loss; if it precedes an incarnation in memory, all of it is read", () => {
  expect(next(log, 3, laterLog)).toEqual({ kind: "lost" });
  expect(next("nothing", 3, log)).toEqual({ kind: "lost" });
  expect(next(log, 3, inMemory("9876543210", 2))).toEqual({
    kind: "readLog",
    cursor: { incarnation: laterLog, seq: 0 },
    until: 2,
  });
  expect(next(log, 3, inMemory(noLog, 0), 1)).toEqual(continueAt(inMemory(noLog, 0), 1));
});
