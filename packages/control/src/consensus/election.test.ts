import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema, VoteSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import { mayGrantVote } from "./election.js";

/** Keeps what it is told to, at once. */
function keepingDisk(): Disk {
  const kept = new Map<string, Uint8Array>();
  return {
    read: (prefix) =>
      [...kept]
        .filter(([key]) => key.startsWith(prefix))
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([key, value]) => ({ key, value })),
    write: (changes: DiskChange[]) => {
      for (const change of changes)
        if ("isRemoved" in change) kept.delete(change.key);
        else kept.set(change.key, change.value);
      return Promise.resolve();
    },
  };
}

/** A log with entries of the terms 1, 1, 2, 2 whose node has voted for `x` in term 5. */
async function voter(disk = keepingDisk()): Promise<ReplicaLog> {
  const log = new ReplicaLog(disk, "store");
  await log.append([1, 1, 2, 2].map((term, i) => create(EntrySchema, { index: i + 1, term })));
  await log.promise(5, "x");
  return log;
}

const asked = (
  term: number,
  candidate: string,
  lastTerm: number,
  lastIndex: number,
  isPre = false,
): Parameters<typeof mayGrantVote>[0] => create(VoteSchema, { term, candidate, lastTerm, lastIndex, isPre });

test("a vote goes to a log that is at least as new: by its last term first, then by its length", async () => {
  const log = await voter();
  const cases: Array<[lastTerm: number, lastIndex: number, isGranted: boolean]> = [
    [2, 4, true],
    [2, 5, true],
    [3, 1, true],
    [2, 3, false],
    [1, 4, false],
    [1, 99, false],
    [0, 0, false],
  ];
  for (const [lastTerm, lastIndex, isGranted] of cases)
    for (const isPre of [false, true])
      expect(mayGrantVote(asked(6, "y", lastTerm, lastIndex, isPre), log, false)).toEqual(isGranted);
});

test("a term has one vote, also after a restart, and a lower term none", async () => {
  const disk = keepingDisk();
  await voter(disk);
  const again = new ReplicaLog(disk, "store");
  expect([again.term, again.vote]).toEqual([5, "x"]);
  expect(mayGrantVote(asked(5, "y", 2, 4), again, false)).toEqual(false);
  expect(mayGrantVote(asked(5, "x", 2, 4), again, false)).toEqual(true);
  expect(mayGrantVote(asked(4, "x", 2, 4), again, false)).toEqual(false);
});

test("a log behind a snapshot is compared by the snapshot's last entry", async () => {
  const disk = keepingDisk();
  await (await voter(disk)).compact(4, new Uint8Array([1]));
  const again = new ReplicaLog(disk, "store");
  expect([again.lastTerm, again.lastIndex]).toEqual([2, 4]);
  expect(mayGrantVote(asked(6, "y", 2, 3), again, false)).toEqual(false);
  expect(mayGrantVote(asked(6, "y", 2, 4), again, false)).toEqual(true);
});

test("nobody gets a vote while a leader is heard", async () => {
  const log = await voter();
  expect(mayGrantVote(asked(9, "y", 9, 99), log, true)).toEqual(false);
});
