import { test } from "node:test";
import { expect } from "earl";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { DiskChange } from "@cranetrack/core/storage/disk.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { entryKind } from "./entryKind.js";
import type { Applied } from "../store/metadata.js";
import { Proposals } from "./proposals.js";

const applied: Applied = { outcome: "done", revision: 1, kvs: [], changes: [] };
const settled = async <T>(asked: Promise<T>): Promise<T | "open"> =>
  Promise.race([asked, new Promise<"open">((resolve) => setImmediate(() => resolve("open")))]);

/** A leader of three whose turns end when told to, and everything that it writes and sends. */
function leader(): {
  proposals: Proposals;
  log: ReplicaLog;
  writes: DiskChange[][];
  sent: Array<{ id: string; entries: number; round: number }>;
  replicator: LogReplicator;
  turn: () => void;
} {
  const writes: DiskChange[][] = [];
  const sent: Array<{ id: string; entries: number; round: number }> = [];
  const turns: Array<() => void> = [];
  const clock = {
    now: () => 0,
    once: (_ms: number, ring: () => void) => (turns.push(ring), { stop: () => undefined }),
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
  proposals.begin(replicator);
  return { proposals, log, writes, sent, replicator, turn: () => turns.splice(0).forEach((ring) => ring()) };
}

test("what is proposed and confirmed in one turn costs a sync, a message of entries and a heartbeat", async () => {
  const { proposals, log, writes, sent, turn } = leader();
  const proposed = Array.from({ length: 50 }, (_, i) => proposals.propose(new Uint8Array([i]), entryKind.command));
  const confirmed = Array.from({ length: 50 }, () => proposals.confirm());
  expect([writes.length, sent.length]).toEqual([0, 0]);
  turn();
  expect([writes.length, writes[0]!.length]).toEqual([1, 50]);
  // The heartbeat is answered without a disk.
  const toEach = (entries: number): typeof sent => ["b", "c"].map((id) => ({ id, entries, round: 1 }));
  expect(sent).toEqual([...toEach(0), ...toEach(50)]);
  proposals.applied(log.at(7)!, applied);
  expect(await proposed[6]).toEqual(applied);
  expect(await settled(proposed[7]!)).toEqual("open");
  expect(await settled(confirmed[0]!)).toEqual("open");
});

test("a change of members does not wait for the turn, and stays behind what was asked before it", () => {
  const { proposals, log, turn } = leader();
  void proposals.propose(new Uint8Array([1]), entryKind.command);
  void proposals.propose(new Uint8Array([2]), entryKind.members);
  expect([1, 2].map((index) => log.at(index)?.kind)).toEqual([entryKind.command, entryKind.members]);
  turn();
  expect(log.lastIndex).toEqual(2);
});

test("a term that ends before the turn does leaves nothing in the log, and everything asked is settled", async () => {
  const { proposals, log, turn } = leader();
  const proposed = proposals.propose(new Uint8Array([1]), entryKind.command);
  const confirmed = proposals.confirm();
  proposals.end();
  turn();
  expect([await proposed, await confirmed, log.lastIndex]).toEqual([undefined, false, 0]);
  expect([await proposals.propose(new Uint8Array(), entryKind.command), await proposals.confirm()]).toEqual([
    undefined,
    false,
  ]);
});
