import { appendFileSync, existsSync, mkdirSync, mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { JournalDisk, type JournalOptions } from "./journalDisk.js";

const folderOf = (): string => mkdtempSync(join(tmpdir(), "cranetrack-journal-"));
const imageOf = (files: Record<string, Uint8Array>): string => {
  const folder = folderOf();
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

/** What a disk may hold of a write that no sync covered. */
function* tears(before: Buffer, after: Buffer): Generator<Buffer> {
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

test("a loss of power takes nothing acknowledged, however the write behind it was torn", async () => {
  const folder = folderOf();
  const disk = await JournalDisk.open(folder);
  const copies: Buffer[] = [];
  for (let i = 0; i < 8; i += 1) {
    await disk.write([put(i)]);
    copies.push(readFileSync(join(folder, "journal")));
  }
  await disk.close();
  for (let i = 0; i + 1 < copies.length; i += 1) {
    for (const journal of tears(copies[i]!, copies[i + 1]!)) {
      const image = imageOf({ journal });
      const read = await readAll(image);
      expect([upTo(i), upTo(i + 1)]).toInclude(read);
      // What was cut off stays away, and the journal goes on.
      const again = await JournalDisk.open(image);
      await again.write([{ key: "k/more", value: Buffer.from("more") }]);
      await again.close();
      expect(await readAll(image)).toEqual([...read, ["k/more", "more"]]);
    }
  }
});

test("a write resolves only after a sync that began when all of it was in the file", async () => {
  const folder = folderOf();
  let isOpening = true;
  const released: Array<() => void> = [];
  let seen = Buffer.alloc(0);
  let told = (): void => undefined;
  const disk = await JournalDisk.open(folder, {
    sync: (file) => {
      if (isOpening) return file.datasync();
      seen = readFileSync(join(folder, "journal"));
      told();
      return new Promise((resolve) => released.push(resolve));
    },
  });
  isOpening = false;
  const syncing = new Promise<void>((resolve) => (told = resolve));
  const order: string[] = [];
  const written = disk.write([put(0)]).then(() => void order.push("written"));
  await syncing;
  await new Promise(setImmediate);
  order.push("synced");
  expect(await readAll(imageOf({ journal: seen }))).toEqual(upTo(0));
  released[0]!();
  await written;
  expect(order).toEqual(["synced", "written"]);
  await disk.close();
});

test("writes that are asked for together are one group with one sync; opening is one more", async () => {
  const folder = folderOf();
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

test("the journal is compacted, and a loss of power at any of its syncs takes nothing", async () => {
  const folder = folderOf();
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
    const read = new Map(await readAll(imageOf(files)));
    const lost = acknowledged.filter(([key, value]) => read.get(key) !== value);
    // At most the one key whose next write was on its way.
    expect(lost.length <= 1).toEqual(true);
  }
});

test("of a renaming that a loss of power kept by half, the new file alone is the journal", async () => {
  const folder = folderOf();
  const disk = await JournalDisk.open(folder);
  for (let i = 0; i < 5; i += 1) await disk.write([put(i)]);
  await disk.close();
  const journal = readFileSync(join(folder, "journal"));
  expect(await readAll(imageOf({ "journal.new": journal }))).toEqual(upTo(4));
  // Beside a journal it may be unfinished.
  const torn = journal.subarray(0, journal.length - 7);
  expect(await readAll(imageOf({ journal, "journal.new": torn }))).toEqual(upTo(4));
});

test("a full disk makes writes wait and says so, and removing makes room", async () => {
  const folder = folderOf();
  const said: string[] = [];
  let told = (): void => undefined;
  const full = new Promise<void>((resolve) => (told = resolve));
  const onFull = (fault: string): void => {
    said.push(fault);
    told();
  };
  const disk = await JournalDisk.open(folder, { maxBytes: 4000, compactAt: 1000, retryMs: 1, onFull });
  const big = Buffer.alloc(900, "x");
  await disk.write([{ key: "a", value: big }]);
  let isWritten = false;
  const waits = disk.write([1, 2, 3].map((i) => ({ key: `b${i}`, value: big }))).then(() => (isWritten = true));
  await full;
  expect(disk.fault).toEqual(expect.includes("the data folder is full, writes wait"));
  expect(isWritten).toEqual(false);
  await Promise.all([
    waits,
    disk.write([
      { key: "b2", isRemoved: true },
      { key: "b3", isRemoved: true },
    ]),
  ]);
  expect(disk.fault).toEqual("");
  expect(said.length).toEqual(1);
  await disk.close();
  expect((await readAll(folder, "")).map(([key]) => key)).toEqual(["a", "b1"]);
});

test("a disk without room is no fault of the program; any other failure of a sync closes the journal", async () => {
  const faults: string[] = [];
  const disk = await JournalDisk.open(folderOf(), {
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

test("a disk without room for a second file still takes the record that makes room", async () => {
  const folder = folderOf();
  let hasRoom = true;
  let refused = 0;
  const said: string[] = [];
  const disk = await JournalDisk.open(folder, {
    compactAt: 2000,
    retryMs: 1,
    onFull: (why) => said.push(why),
    sync: async (file) => {
      // A file beside the journal is a compaction's.
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
  expect([disk.fault, said]).toEqual(["", []]);
  expect(readFileSync(join(folder, "journal")).length < 4000).toEqual(true);
  await disk.close();
  expect((await readAll(folder, "")).map(([key]) => key)).toEqual(["b", "c"]);
});

test("what was synced and altered since, and what is no journal, is refused and not cut off", async () => {
  const folder = folderOf();
  const disk = await JournalDisk.open(folder);
  for (let i = 0; i < 3; i += 1) await disk.write([put(i)]);
  await disk.close();
  const journal = readFileSync(join(folder, "journal"));
  const altered = Buffer.from(journal);
  altered[60]! ^= 1;
  await expect(readAll(imageOf({ journal: altered }))).toBeRejectedWith(/cannot be used.*damaged at/);
  await expect(readAll(imageOf({ journal: Buffer.alloc(100, "?") }))).toBeRejectedWith(/no journal of ours/);
  await expect(readAll(imageOf({ "data.mdb": Buffer.from("?") }))).toBeRejectedWith(/another disk format/);
  // The head alone may be torn: nothing was ever acknowledged in such a file.
  for (let length = 0; length <= 21; length += 1)
    expect(await readAll(imageOf({ journal: journal.subarray(0, length) }))).toEqual([]);
  mkdirSync(join(folder, "sub"));
  appendFileSync(join(folder, "journal"), Buffer.alloc(70_000));
  expect(await readAll(folder)).toEqual(upTo(2));
});
