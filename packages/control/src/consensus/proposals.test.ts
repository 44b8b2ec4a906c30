import { test } from "node:test";
import { expect } from "earl";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { DiskChange } from "@cranetrack/core/storage/disk.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { entryKind } from "./storeLog.js";
import type { ApplyResult } from "../store/metadata.js";
import { Proposals } from "./proposals.js";

const applied: ApplyResult = { outcome: "done", revision: 1, kvs: [], changes: [] };
const orPending = async <T>(answer: Promise<T>): Promise<T | "open"> =>
  Promise.race([answer, new Promise<"open">((resolve) => setImmediate(() => resolve("open")))]);

/** A leader of three members whose event loop turns end when the test says so, and what it writes and sends. */
function makeLeader(): {
  proposals: Proposals;
  log: ReplicaLog;
  writes: DiskChange[][];
  sent: Array<{ id: string; entries: number; round: number }>;
  replicator: LogReplicator;
  endTurn: () => void;
} {
  const writes: DiskChange[][] = [];
  const sent: Array<{ id: string; entries: number; round: number }> = [];
  const turns: Array<() => void> = [];
  const clock = {
    now: () => 0,
    once: (_ms: number, run: () => void) => (turns.push(run), { stop: () => undefined }),
    every: () => ({ stop: () => undefined }),
  };
  const disk = { read: () => [], write: (changes: DiskChange[]) => (writes.push(changes), Promise.resolve()) };
  const log = new ReplicaLog(disk, "store");
  log.term = 3;
  const send = (id: string, body: BodyInit): void => {
    if (body.case === "append") sent.push({ id, entries: body.value.entries!.length, round: body.value.round! });
  };
  const replicator = new LogReplicator({ log, clock, self: "a", term: 3, commit: 0, send });
  replicator.setMembers([["a", "b", "c"]], []);
  const proposals = new Proposals(log, clock);
  proposals.startTerm(replicator);
  return { proposals, log, writes, sent, replicator, endTurn: () => turns.splice(0).forEach((run) => run()) };
}

test("proposals and reads of one turn take one sync, one message with entries and one heartbeat", async () => {
  const { proposals, log, writes, sent, endTurn } = makeLeader();
  const proposed = Array.from({ length: 50 }, (_, i) => proposals.propose(new Uint8Array([i]), entryKind.command));
  const confirmed = Array.from({ length: 50 }, () => proposals.confirm());
  expect([writes.length, sent.length]).toEqual([0, 0]);
  endTurn();
  expect([writes.length, writes[0]!.length]).toEqual([1, 50]);
  // A heartbeat is answered without waiting for the disk.
  const toEach = (entries: number): typeof sent => ["b", "c"].map((id) => ({ id, entries, round: 1 }));
  expect(sent).toEqual([...toEach(0), ...toEach(50)]);
  proposals.onApplied(log.entryAt(7)!, applied);
  expect(await proposed[6]).toEqual(applied);
  expect(await orPending(proposed[7]!)).toEqual("open");
  expect(await orPending(confirmed[0]!)).toEqual("open");
});

test("a change of members is written before the turn ends, after earlier proposals", () => {
  const { proposals, log, endTurn } = makeLeader();
  void proposals.propose(new Uint8Array([1]), entryKind.command);
  void proposals.propose(new Uint8Array([2]), entryKind.members);
  expect([1, 2].map((index) => log.entryAt(index)?.kind)).toEqual([entryKind.command, entryKind.members]);
  endTurn();
  expect(log.lastIndex).toEqual(2);
});

test("if the term ends before the turn, nothing is written and every call is answered", async () => {
  const { proposals, log, endTurn } = makeLeader();
  const proposed = proposals.propose(new Uint8Array([1]), entryKind.command);
  const confirmed = proposals.confirm();
  proposals.endTerm();
  endTurn();
  expect([await proposed, await confirmed, log.lastIndex]).toEqual([undefined, false, 0]);
  expect([await proposals.propose(new Uint8Array(), entryKind.command), await proposals.confirm()]).toEqual([
    undefined,
    false,
  ]);
});
