import { appendFileSync, existsSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { DiskRoom } from "./diskRoom.js";
import { JournalDisk, type JournalOptions } from "./journalDisk.js";

const createFolder = (): string => mkdtempSync(join(tmpdir(), "cranetrack-journal-"));
const folderWith = (files: Record<string, Uint8Array>): string => {
  const folder = createFolder();
  for (const [name, bytes] of Object.entries(files)) writeFileSync(join(folder, name), bytes);
  return folder;
};
const filesOf = (folder: string): Record<string, Buffer> =>
  Object.fromEntries(readdirSync(folder).map((name) => [name, readFileSync(join(folder, name))]));
const text = (value: Uint8Array): string => Buffer.from(value).toString();
const keyOf = (i: number): string => `k/${String(i).padStart(4, "0")}`;
const valueOf = (i: number): Buffer => Buffer.from(`${i} `.repeat(1 + ((i * 37) % 60)));
const put = (i: number): { key: string; value: Buffer } => ({ key: keyOf(i), value: valueOf(i) });
const readAll = async (folder: string, prefix = "k/"): Promise<Array<[string, string]>> => {
  const disk = await JournalDisk.open(folder);
  const read = disk.read(prefix).map(({ key, value }): [string, string] => [key, text(value)]);
  await disk.close();
  return read;
};
const upTo = (last: number): Array<[string, string]> =>
  Array.from({ length: last + 1 }, (_, i) => [keyOf(i), text(valueOf(i))]);

/** The states in which a power failure may leave a file after a write that no sync covered. */
function* tornStates(before: Buffer, after: Buffer): Generator<Buffer> {
  const grown = Buffer.concat([before, Buffer.alloc(after.length - before.length)]);
  yield before;
  yield after;
  for (let cut = before.length; cut < after.length; cut += 3) {
    yield after.subarray(0, cut);
    yield Buffer.concat([after.subarray(0, cut), grown.subarray(cut)]);
    yield Buffer.concat([grown.subarray(0, cut), after.subarray(cut)]);
    const hole = Math.min(cut + 16, after.length);
    yield Buffer.concat([after.subarray(0, cut), grown.subarray(cut, hole), after.subarray(hole)]);
    const noise = Buffer.from(after);
    noise[cut]! ^= 0x40;
    yield noise;
  }
}

test("a power failure loses no acknowledged write, however the write after it was torn", async () => {
  const folder = createFolder();
  const disk = await JournalDisk.open(folder);
  const copies: Buffer[] = [];
  for (let i = 0; i < 8; i += 1) {
    await disk.write([put(i)]);
    copies.push(readFileSync(join(folder, "journal")));
  }
  await disk.close();
  for (let i = 0; i + 1 < copies.length; i += 1) {
    for (const journal of tornStates(copies[i]!, copies[i + 1]!)) {
      const image = folderWith({ journal });
      const read = await readAll(image);
      expect([upTo(i), upTo(i + 1)]).toInclude(read);
      // A truncated record does not reappear, and the journal accepts writes.
      const again = await JournalDisk.open(image);
      await again.write([{ key: "k/more", value: Buffer.from("more") }]);
      await again.close();
      expect(await readAll(image)).toEqual([...read, ["k/more", "more"]]);
    }
  }
});

test("a write resolves only after a sync that began once the whole record was in the file", async () => {
  const folder = createFolder();
  let isOpening = true;
  const released: Array<() => void> = [];
  let journalAtSync = Buffer.alloc(0);
  let notifySyncing = (): void => undefined;
  const disk = await JournalDisk.open(folder, {
    sync: (file) => {
      if (isOpening) return file.datasync();
      journalAtSync = readFileSync(join(folder, "journal"));
      notifySyncing();
      return new Promise((resolve) => released.push(resolve));
    },
  });
  isOpening = false;
  const syncing = new Promise<void>((resolve) => (notifySyncing = resolve));
  const order: string[] = [];
  const written = disk.write([put(0)]).then(() => void order.push("written"));
  await syncing;
  await new Promise(setImmediate);
  order.push("synced");
  expect(await readAll(folderWith({ journal: journalAtSync }))).toEqual(upTo(0));
  released[0]!();
  await written;
  expect(order).toEqual(["synced", "written"]);
  await disk.close();
});

test("writes requested together form one group with one sync; opening syncs once", async () => {
  const folder = createFolder();
  let syncs = 0;
  const disk = await JournalDisk.open(folder, { sync: (file) => ((syncs += 1), file.datasync()) });
  expect(syncs).toEqual(1);
  await Promise.all(Array.from({ length: 20 }, (_, i) => disk.write([put(i)])));
  await disk.write([
    { key: keyOf(0), isRemoved: true },
    { key: keyOf(1), value: Buffer.from("new") },
  ]);
  expect(syncs).toEqual(3);
  await disk.close();
  expect((await readAll(folder)).slice(0, 2)).toEqual([
    [keyOf(1), "new"],
    [keyOf(2), text(valueOf(2))],
  ]);
});

test("the journal is compacted, and a power failure at any of its syncs loses no acknowledged write", async () => {
  const folder = createFolder();
  const expected = new Map<string, string>();
  const images: Array<{ files: Record<string, Buffer>; acknowledged: Array<[string, string]> }> = [];
  const options: JournalOptions = {
    compactAt: 3000,
    sync: async (file) => {
      images.push({ files: filesOf(folder), acknowledged: [...expected] });
      await file.datasync();
    },
  };
  const disk = await JournalDisk.open(folder, options);
  for (let i = 0; i < 200; i += 1) {
    const key = keyOf(i % 7);
    await disk.write([{ key, value: valueOf(i) }]);
    expected.set(key, text(valueOf(i)));
    expect(readFileSync(join(folder, "journal")).length < 3300).toEqual(true);
  }
  await disk.close();
  expect(await readAll(folder)).toEqual([...expected].sort());
  expect(images.some(({ files }) => files["journal.new"] !== undefined)).toEqual(true);
  for (const { files, acknowledged } of images) {
    const read = new Map(await readAll(folderWith(files)));
    const lost = acknowledged.filter(([key, value]) => read.get(key) !== value);
    // At most the one key whose next write was in progress.
    expect(lost.length <= 1).toEqual(true);
  }
});

test("if a power failure kept only half of a rename, the new file alone is the journal", async () => {
  const folder = createFolder();
  const disk = await JournalDisk.open(folder);
  for (let i = 0; i < 5; i += 1) await disk.write([put(i)]);
  await disk.close();
  const journal = readFileSync(join(folder, "journal"));
  expect(await readAll(folderWith({ "journal.new": journal }))).toEqual(upTo(4));
  // Beside a journal the compacted file may be incomplete.
  const torn = journal.subarray(0, journal.length - 7);
  expect(await readAll(folderWith({ journal, "journal.new": torn }))).toEqual(upTo(4));
});

test("a full disk makes writes wait and reports it, and removals free space", async () => {
  const folder = createFolder();
  const messages: string[] = [];
  let notifyFull = (): void => undefined;
  const full = new Promise<void>((resolve) => (notifyFull = resolve));
  const onFull = (fault: string): void => {
    messages.push(fault);
    notifyFull();
  };
  const disk = await JournalDisk.open(folder, { maxBytes: 4000, compactAt: 1000, retryMs: 1, onFull });
  const big = Buffer.alloc(900, "x");
  await disk.write([{ key: "a", value: big }]);
  let isWritten = false;
  const waitingWrites = disk.write([1, 2, 3].map((i) => ({ key: `b${i}`, value: big }))).then(() => (isWritten = true));
  await full;
  expect(disk.fault).toEqual(expect.includes("the data folder is full, writes wait"));
  expect(isWritten).toEqual(false);
  await Promise.all([
    waitingWrites,
    disk.write([
      { key: "b2", isRemoved: true },
      { key: "b3", isRemoved: true },
    ]),
  ]);
  expect(disk.fault).toEqual("");
  expect(messages.length).toEqual(1);
  await disk.close();
  expect((await readAll(folder, "")).map(([key]) => key)).toEqual(["a", "b1"]);
});

// Guards against Acks (review/6): a journal that was nearly full of live values took no further record, however small.
test("a journal filled as far as logs may fill it still takes small writes, also when opened anew", async () => {
  const folder = createFolder();
  const messages: string[] = [];
  const options = { maxBytes: 200_000, compactAt: 10_000, retryMs: 1, onFull: (why: string) => messages.push(why) };
  let disk = await JournalDisk.open(folder, options);
  const value = Buffer.alloc(1000, "x");
  let count = 0;
  for (; new DiskRoom(disk).hasReplicationRoom(value.length); count += 1)
    await disk.write([{ key: `log${count % 4}/${count}`, value }]);
  expect(count > 60).toEqual(true);
  for (let life = 0; life < 2; life += 1) {
    for (let i = 0; i < 500; i += 1) await disk.write([{ key: "store/m", value: Buffer.alloc(100, `${i}`) }]);
    // The largest log is rewritten as a whole.
    const replaced = Array.from({ length: Math.floor(count / 4) }, (_, i) => `log0/${4 * i}`);
    const snapshot = { key: "log0/p", value: Buffer.alloc(1000 * replaced.length, "s") };
    await disk.write([...replaced.map((key) => ({ key, isRemoved: true as const })), snapshot]);
    await disk.close();
    disk = await JournalDisk.open(folder, options);
  }
  expect([messages, disk.fault]).toEqual([[], ""]);
  await disk.close();
});

test("the fill level counts what is kept, what is being written, and the room that rewriting needs", async () => {
  const disk = await JournalDisk.open(createFolder(), { maxBytes: 100_000 });
  expect(disk.fillShare(0)).toEqual(0);
  const written = disk.write([{ key: "log/1", value: Buffer.alloc(10_000) }]);
  expect(disk.fillShare(0) >= 0.2).toEqual(true);
  await written;
  expect(disk.fillShare(0) >= 0.3 && disk.fillShare(0) < 0.31).toEqual(true);
  expect(disk.fillShare(10_000) >= 0.6).toEqual(true);
  await disk.write([{ key: "log/1", isRemoved: true }]);
  expect(disk.fillShare(0)).toEqual(0);
  await disk.close();
});

test("a sync that fails for lack of space is retried; any other failure of a sync closes the journal", async () => {
  const faults: string[] = [];
  const disk = await JournalDisk.open(createFolder(), {
    retryMs: 1,
    sync: (file) => {
      const code = faults.shift();
      return code === undefined ? file.datasync() : Promise.reject(Object.assign(new Error(code), { code }));
    },
  });
  faults.push("ENOSPC", "EIO");
  await expect(disk.write([put(0)])).toBeRejectedWith("EIO");
  await disk.close();
});

test("a disk without space for a second file still accepts the record that frees space", async () => {
  const folder = createFolder();
  let hasRoom = true;
  let refused = 0;
  const messages: string[] = [];
  const disk = await JournalDisk.open(folder, {
    compactAt: 2000,
    retryMs: 1,
    onFull: (why) => messages.push(why),
    sync: async (file) => {
      // The file journal.new exists only during compaction.
      if (!hasRoom && existsSync(join(folder, "journal.new"))) {
        refused += 1;
        throw Object.assign(new Error("no room"), { code: "ENOSPC" });
      }
      await file.datasync();
    },
  });
  const big = Buffer.alloc(900, "x");
  await disk.write([{ key: "a", value: big }]);
  await disk.write([{ key: "b", value: big }]);
  hasRoom = false;
  for (let i = 0; i < 10; i += 1) await disk.write([{ key: "c", value: Buffer.alloc(400, `${i}`) }]);
  expect(refused > 0 && refused < 6).toEqual(true);
  await disk.write([{ key: "a", isRemoved: true }]);
  hasRoom = true;
  for (let i = 0; i < 30; i += 1) await disk.write([{ key: "c", value: Buffer.alloc(100, `${i}`) }]);
  expect([disk.fault, messages]).toEqual(["", []]);
  expect(readFileSync(join(folder, "journal")).length < 4000).toEqual(true);
  await disk.close();
  expect((await readAll(folder, "")).map(([key]) => key)).toEqual(["b", "c"]);
});

test("synced data that was altered, and files that are no journal, are refused and not truncated", async () => {
  const folder = createFolder();
  const disk = await JournalDisk.open(folder);
  for (let i = 0; i < 3; i += 1) await disk.write([put(i)]);
  await disk.close();
  const journal = readFileSync(join(folder, "journal"));
  const altered = Buffer.from(journal);
  altered[60]! ^= 1;
  await expect(readAll(folderWith({ journal: altered }))).toBeRejectedWith(/cannot be used.*damaged at/);
  await expect(readAll(folderWith({ journal: Buffer.alloc(100, "?") }))).toBeRejectedWith(/no journal header/);
  await expect(readAll(folderWith({ "data.mdb": Buffer.from("?") }))).toBeRejectedWith(/another disk format/);
  // A file with only a torn header is accepted: no write was ever acknowledged in it.
  for (let length = 0; length <= 21; length += 1)
    expect(await readAll(folderWith({ journal: journal.subarray(0, length) }))).toEqual([]);
  mkdirSync(join(folder, "sub"));
  appendFileSync(join(folder, "journal"), Buffer.alloc(70_000));
  expect(await readAll(folder)).toEqual(upTo(2));
});
