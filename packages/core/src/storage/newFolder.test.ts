import fs, { existsSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import promises from "node:fs/promises";
import { syncBuiltinESMExports } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { JournalDisk } from "./journalDisk.js";

test("a created data folder and its created parents have their names synced before anything is stored", async (t) => {
  const base = mkdtempSync(join(tmpdir(), "cranetrack-folder-"));
  const opened = new Map<number, string>();
  const synced: string[] = [];
  const open = fs.openSync;
  const sync = fs.fsyncSync;
  t.mock.method(fs, "openSync", (path: string, flags: string) => {
    const file = open(path, flags);
    opened.set(file, path);
    return file;
  });
  t.mock.method(fs, "fsyncSync", (file: number) => {
    sync(file);
    synced.push(opened.get(file) ?? "");
  });
  syncBuiltinESMExports();
  try {
    const folder = join(base, "state", "data");
    const disk = await JournalDisk.open(folder);
    expect(existsSync(join(folder, "journal"))).toEqual(true);
    expect([join(base, "state"), base, folder].filter((one) => !synced.includes(one))).toEqual([]);
    await disk.close();
    // For an existing folder no parent is synced again.
    synced.length = 0;
    await (await JournalDisk.open(folder)).close();
    expect(synced).toEqual([folder]);
  } finally {
    t.mock.restoreAll();
    syncBuiltinESMExports();
  }
});

test("acknowledged writes survive if a power failure undoes the rename of a compacted journal", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-names-"));
  const path = join(folder, "journal");
  /** The journal's content after a power failure now, if the rename is not synced; otherwise undefined. */
  let earlier: Buffer | undefined;
  let renames = 0;
  const { rename } = promises;
  const sync = fs.fsyncSync;
  t.mock.method(promises, "rename", async (from: string, to: string) => {
    earlier ??= readFileSync(to);
    renames += 1;
    await rename(from, to);
  });
  t.mock.method(fs, "fsyncSync", (file: number) => {
    sync(file);
    if (fs.fstatSync(file).isDirectory()) earlier = undefined;
  });
  syncBuiltinESMExports();
  const images: Array<{ journal: Buffer; last: number }> = [];
  try {
    const disk = await JournalDisk.open(folder, { compactAt: 600 });
    for (let i = 0; i < 60; i += 1) {
      await disk.write([{ key: "k", value: Buffer.from(String(i).padStart(40, "0")) }]);
      images.push({ journal: earlier ?? readFileSync(path), last: i });
    }
    await disk.close();
  } finally {
    t.mock.restoreAll();
    syncBuiltinESMExports();
  }
  expect(renames > 3).toEqual(true);
  for (const { journal, last } of images) {
    const image = mkdtempSync(join(tmpdir(), "cranetrack-image-"));
    writeFileSync(join(image, "journal"), journal);
    const disk = await JournalDisk.open(image);
    expect(Number(Buffer.from(disk.read("k")[0]!.value).toString())).toEqual(last);
    await disk.close();
  }
});
