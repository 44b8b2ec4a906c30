import fs, { existsSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import promises from "node:fs/promises";
import { syncBuiltinESMExports } from "node:module";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { expect } from "earl";
import { JournalDisk } from "./journalDisk.js";

test("a data folder that is made, and those above it, have their names synced before anything is kept", async (t) => {
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
    // What was there is not made again.
    synced.length = 0;
    await (await JournalDisk.open(folder)).close();
    expect(synced).toEqual([folder]);
  } finally {
    t.mock.restoreAll();
    syncBuiltinESMExports();
  }
});

test("a journal that takes another's name keeps what is acknowledged though the name may be lost", async (t) => {
  const folder = mkdtempSync(join(tmpdir(), "cranetrack-names-"));
  const path = join(folder, "journal");
  /** What has the journal's name if power is lost now; the present one's where its name was synced. */
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
