import fs, { existsSync, mkdtempSync } from "node:fs";
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
