import { mkdtempSync, rmSync, statSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema, SnapshotSchema, type Entry } from "../gen/cranetrack_pb.js";
import type { Disk, DiskChange } from "../storage/disk.js";
import { JournalDisk } from "../storage/journalDisk.js";
import { LogCompaction, type CompactionBounds } from "./logCompaction.js";
import { ReplicaLog } from "./replicaLog.js";

class MemoryDisk implements Disk {
  readonly stored = new Map<string, Uint8Array>();

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const keys = [...this.stored.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, value: this.stored.get(key)! }));
  }

  write(changes: DiskChange[]): Promise<void> {
    for (const change of changes)
      if ("isRemoved" in change) this.stored.delete(change.key);
      else this.stored.set(change.key, change.value);
    return Promise.resolve();
  }

  get bytes(): number {
    return [...this.stored.values()].reduce((sum, value) => sum + value.length, 0);
  }
}

const entryOf = (index: number, bytes: number, term = 1): Entry =>
  create(EntrySchema, { index, term, data: new Uint8Array(bytes).fill(index % 256) });
const bounds: CompactionBounds = { entries: 1000, bytes: 100_000, kept: { entries: 20, bytes: 30_000 } };

/** Appends and applies entries of the same size as a replica does, compacting with a snapshot of 1,000 bytes. */
async function applyAll(log: ReplicaLog, count: number, bytes: number): Promise<void> {
  const compaction = new LogCompaction(log, bounds);
  for (let i = 0; i < count; i += 1) {
    const entry = entryOf(log.lastIndex + 1, bytes);
    await log.append([entry]);
    compaction.recordApplied(entry);
    if (compaction.shouldCompact) await compaction.compact(entry.index, new Uint8Array(1000));
  }
}

test("a log of large entries stays within its byte bounds in memory, on disk and in what is replayed", async () => {
  const disk = new MemoryDisk();
  const log = new ReplicaLog(disk, "g");
  for (let i = 0; i < 50; i += 1) {
    await applyAll(log, 10, 10_000);
    expect(disk.bytes < 100_000 + 30_000 + 20_000).toEqual(true);
    expect((log.lastIndex - log.snapshotIndex) * 10_000 <= 100_000).toEqual(true);
    expect(log.length * 10_000 <= 130_000).toEqual(true);
  }
});

test("a log of small entries is compacted by their number", async () => {
  const disk = new MemoryDisk();
  const log = new ReplicaLog(disk, "g");
  await applyAll(log, 2500, 10);
  expect([log.snapshotIndex, log.baseIndex, log.length]).toEqual([2000, 1980, 520]);
});

test("compaction keeps a tail bounded by number and bytes, and the tail is loaded after a restart", async () => {
  const disk = new MemoryDisk();
  const log = new ReplicaLog(disk, "g");
  await applyAll(log, 12, 10_000);
  expect([log.baseIndex, log.snapshotIndex, log.lastIndex]).toEqual([7, 10, 12]);
  expect(log.entriesAfter(8).map(({ index }) => index)).toEqual([9, 10, 11, 12]);
  const again = new ReplicaLog(disk, "g");
  expect(again.findDamage()).toEqual(undefined);
  expect([again.baseIndex, again.baseTerm, again.snapshotIndex, again.lastIndex]).toEqual([7, 1, 10, 12]);
  expect(again.entriesAfter(7).map(({ index }) => index)).toEqual([8, 9, 10, 11, 12]);
  // The next snapshot moves the tail and removes the stored base entry of the old one.
  await applyAll(again, 10, 10_000);
  const keys = [...disk.stored.keys()].filter((key) => key.includes("/e/")).sort();
  expect(Number(keys[0]!.slice(4))).toEqual(again.baseIndex);
});

test("installing a snapshot removes all entries of the previous tail from disk", async () => {
  const disk = new MemoryDisk();
  const log = new ReplicaLog(disk, "g");
  await applyAll(log, 12, 10_000);
  await log.installSnapshot(30, 2, new Uint8Array(10));
  expect([...disk.stored.keys()]).toEqual(["g/p"]);
  const again = new ReplicaLog(disk, "g");
  expect([again.baseIndex, again.baseTerm, again.lastIndex, again.findDamage()]).toEqual([30, 2, 30, undefined]);
});

test("a data folder written before tails existed is loaded, a gap before the snapshot's end is reported", async () => {
  const disk = new MemoryDisk();
  const stored = create(SnapshotSchema, { index: 5, indexTerm: 2, state: new Uint8Array(1) });
  const put = (entry: Entry): Promise<void> =>
    disk.write([{ key: `g/e/${String(entry.index).padStart(16, "0")}`, value: toBinary(EntrySchema, entry) }]);
  await disk.write([{ key: "g/p", value: toBinary(SnapshotSchema, stored) }]);
  await put(entryOf(6, 1, 3));
  const old = new ReplicaLog(disk, "g");
  expect([old.baseIndex, old.baseTerm, old.lastIndex, old.findDamage()]).toEqual([5, 2, 6, undefined]);
  await disk.write([{ key: "g/e/0000000000000006", isRemoved: true }]);
  await put(entryOf(3, 1, 2));
  expect(new ReplicaLog(disk, "g").findDamage()).toEqual(expect.includes("misses entry 4"));
});

test("a snapshot larger than the byte bound is not rewritten each time the entries reach the bound", async () => {
  const log = new ReplicaLog(new MemoryDisk(), "g");
  const compaction = new LogCompaction(log, bounds);
  let snapshots = 0;
  for (let i = 0; i < 200; i += 1) {
    const entry = entryOf(log.lastIndex + 1, 10_000);
    await log.append([entry]);
    compaction.recordApplied(entry);
    if (!compaction.shouldCompact) continue;
    snapshots += 1;
    await compaction.compact(entry.index, new Uint8Array(500_000));
  }
  expect(snapshots).toEqual(4);
});

test("hundreds of large entries never fill a small disk", async () => {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-compaction-"));
  try {
    let isFull = false;
    const maxBytes = 1_000_000;
    const disk = await JournalDisk.open(folder, {
      maxBytes,
      compactAt: 100_000,
      retryMs: 1,
      onFull: () => (isFull = true),
    });
    await applyAll(new ReplicaLog(disk, "g"), 500, 10_000);
    expect(isFull).toEqual(false);
    expect(statSync(join(folder, "journal")).size < maxBytes).toEqual(true);
    await disk.close();
  } finally {
    rmSync(folder, { recursive: true });
  }
});
