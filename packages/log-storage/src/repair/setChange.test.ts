import { test } from "node:test";
import { expect } from "earl";
import { isSafeToInstall } from "./setChange.js";

/** The last index that each member's log has in common with the leader's, and milliseconds since its last reply. */
type Progress = Record<string, readonly [match: number, sinceContactMs?: number]>;

function isSafe(ids: string, joiningReplica: string | undefined, commit: number, progress: Progress): boolean {
  const members = [...ids].map((id) => ({ id, name: id, zone: id }));
  return isSafeToInstall(
    { set: { members }, joiningReplica, jointSinceIndex: 10 },
    {
      commit,
      matchOf: (id) => progress[id]?.[0] ?? 0,
      sinceContactMs: (id) => progress[id]?.[1] ?? 0,
    },
  );
}

test("a set is put in force only while a majority of it replies and has all committed entries", () => {
  // In {a, b, x}, n replaces x: a and n have everything.
  expect(isSafe("abn", "n", 10, { a: [10], b: [4], n: [10] })).toEqual(true);
  // The joining replica lacks an entry; the commit index is too low; only the joining replica has everything.
  expect(isSafe("abn", "n", 10, { a: [10], b: [10], n: [9] })).toEqual(false);
  expect(isSafe("abn", "n", 9, { a: [10], b: [10], n: [10] })).toEqual(false);
  expect(isSafe("abn", "n", 10, { a: [9], b: [4], n: [10] })).toEqual(false);
});

test("the member that leaves a shrinking set may have been part of the majority that committed", () => {
  // Entries up to 10 were committed by {a, b, x}, and x leaves: two of four members are no majority.
  expect(isSafe("abcd", undefined, 10, { a: [10], b: [10], c: [8], d: [8] })).toEqual(false);
  expect(isSafe("abcd", undefined, 10, { a: [10], b: [10], c: [10], d: [8] })).toEqual(true);
});

test("a member that does not reply may have lost its disk and does not count", () => {
  expect(isSafe("abn", "n", 10, { a: [10], b: [10], n: [10, 900] })).toEqual(true);
  expect(isSafe("abcn", "n", 10, { a: [10], b: [10, 900], c: [8], n: [10] })).toEqual(false);
});
