import { test } from "node:test";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import { expect } from "earl";
import { nextIncarnation, type NextIncarnation } from "./nextIncarnation.js";

const stream = "0:a";
const log = "1-0123456789";
const laterLog = "1-9876543210";
const noLog = Incarnations.noLogIdentity(stream);

/** In memory, begun where a log stood. */
function inMemory(identity: string, seq: number, leaderIdentity = "aaaaaaaaaa"): string {
  return Incarnations.inMemory({ identity, seq }, leaderIdentity);
}

function next(incarnation: string, seq: number, present: string, low = 0): NextIncarnation {
  return nextIncarnation({ incarnation, seq }, { stream, incarnation: present, low });
}

const goOn = (incarnation: string, seq: number): NextIncarnation => {
  return { kind: "continue", cursor: { incarnation, seq } };
};

// Guards against LOST (issue 42): a reader went on at the head of the new incarnation, or was told that it had expired.
test("a reader of memory goes on in the log where that stood when the memory began", () => {
  expect(next(inMemory("0123456789", 7), 99, log)).toEqual(goOn(log, 7));
  expect(next(inMemory(noLog, 0), 99, log)).toEqual(goOn(log, 0));
  expect(next("2a-0123456789", 5, log)).toEqual(goOn(log, 5));
});

test("a reader goes on in memory once it has read what the log took before", () => {
  const present = inMemory("0123456789", 7);
  expect(next(log, 7, present, 3)).toEqual(goOn(present, 3));
  expect(next(log, 5, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 5 }, until: 7 });
  const earlier = inMemory("0123456789", 4, "bbbbbbbbbb");
  expect(next(earlier, 50, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 4 }, until: 7 });
  const first = inMemory(noLog, 0, "bbbbbbbbbb");
  expect(next(first, 50, present)).toEqual({ kind: "readLog", cursor: { incarnation: log, seq: 0 }, until: 7 });
  expect(next(inMemory("0123456789", 7, "bbbbbbbbbb"), 50, present, 2)).toEqual(goOn(present, 2));
});

test("a memory that began before what was read is waited out", () => {
  expect(next(log, 8, inMemory("0123456789", 7))).toEqual({ kind: "wait" });
});

test("another log than was read is a loss; one in memory that follows on it was made later, and is read whole", () => {
  expect(next(log, 3, laterLog)).toEqual({ kind: "lost" });
  expect(next("nothing", 3, log)).toEqual({ kind: "lost" });
  expect(next(log, 3, inMemory("9876543210", 2))).toEqual({
    kind: "readLog",
    cursor: { incarnation: laterLog, seq: 0 },
    until: 2,
  });
  expect(next(log, 3, inMemory(noLog, 0), 1)).toEqual(goOn(inMemory(noLog, 0), 1));
});
