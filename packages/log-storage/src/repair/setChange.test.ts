import { test } from "node:test";
import { expect } from "earl";
import { isSafeToDecide } from "./setChange.js";

/** How far each member's log is, and how long ago it answered. */
type Progress = Record<string, readonly [match: number, heardAgo?: number]>;

function isSafe(ids: string, joiningReplica: string | undefined, commit: number, progress: Progress): boolean {
  const members = [...ids].map((id) => ({ id, name: id, zone: id }));
  return isSafeToDecide(
    { set: { members }, joiningReplica, joinedAt: 10 },
    {
      commit,
      matchOf: (id) => progress[id]?.[0] ?? 0,
      sinceContactMs: (id) => progress[id]?.[1] ?? 0,
    },
  );
}

test("a set is put in force only while a majority of it, that answers, has all that is committed", () => {
  // Of {a, b, x}, x goes and n comes: a and n have everything.
  expect(isSafe("abn", "n", 10, { a: [10], b: [4], n: [10] })).toEqual(true);
  // The joining replica lacks one entry; the commit is behind; the joining replica alone has it.
  expect(isSafe("abn", "n", 10, { a: [10], b: [10], n: [9] })).toEqual(false);
  expect(isSafe("abn", "n", 9, { a: [10], b: [10], n: [10] })).toEqual(false);
  expect(isSafe("abn", "n", 10, { a: [9], b: [4], n: [10] })).toEqual(false);
});

test("who leaves a set that shrinks may have been one of the majority that committed", () => {
  // Entries up to 10 were committed by {a, b, x}, and x goes: two of four are no majority.
  expect(isSafe("abcd", undefined, 10, { a: [10], b: [10], c: [8], d: [8] })).toEqual(false);
  expect(isSafe("abcd", undefined, 10, { a: [10], b: [10], c: [10], d: [8] })).toEqual(true);
});

test("a member that does not answer may have lost its disk, and is not counted on", () => {
  expect(isSafe("abn", "n", 10, { a: [10], b: [10], n: [10, 900] })).toEqual(true);
  expect(isSafe("abcn", "n", 10, { a: [10], b: [10, 900], c: [8], n: [10] })).toEqual(false);
});
