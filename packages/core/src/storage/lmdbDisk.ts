import { closeSync, existsSync, openSync, readSync, statSync } from "node:fs";
import { join } from "node:path";
import { open, type RootDatabase } from "lmdb";
import { DataFolderError } from "../errors.js";
import type { Disk, DiskChange } from "./disk.js";
import { NewFolder } from "./newFolder.js";

/**
 * A disk in an LMDB database. lmdb-js may resolve a commit before it is flushed (overlapping sync), so `write` waits
 * for the flush that covers it.
 */
export class LmdbDisk implements Disk {
  /** The magic number that LMDB writes into both of its first two pages. */
  static readonly #pageMagic = 0xbeefc0de;
  readonly #db: RootDatabase<Uint8Array, string>;

  /** Opens or creates the database in a folder. Throws `DataFolderError` if it is damaged or of another program. */
  constructor(folder: string) {
    try {
      this.#db = LmdbDisk.#open(folder);
    } catch (cause) {
      throw new DataFolderError(`the data folder ${folder} cannot be used`, cause);
    }
  }

  /** Wraps a database that is already open; for tests. */
  static over(db: RootDatabase<Uint8Array, string>): Pick<LmdbDisk, "write"> {
    return { write: (changes) => LmdbDisk.#write(db, changes) };
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const entries: Array<{ key: string; value: Uint8Array }> = [];
    for (const { key, value } of this.#db.getRange({ start: prefix, end: `${prefix}\u{10ffff}` })) {
      entries.push({ key, value: Uint8Array.from(value) });
    }
    return entries;
  }

  write(changes: DiskChange[]): Promise<void> {
    return LmdbDisk.#write(this.#db, changes);
  }

  async close(): Promise<void> {
    await this.#db.close();
  }

  static #open(folder: string): RootDatabase<Uint8Array, string> {
    NewFolder.make(folder);
    LmdbDisk.#checkFileHeader(join(folder, "data.mdb"));
    const db = open<Uint8Array, string>({ path: folder, encoding: "binary", overlappingSync: true, noSubdir: false });
    NewFolder.sync(folder);
    const format = db.get("format");
    const isBlank = db.getKeysCount({ limit: 1 }) === 0;
    if (!isBlank && (format === undefined || Buffer.from(format).toString() !== "cranetrack 3"))
      throw new Error("it holds another program's data");
    if (isBlank) db.putSync("format", Buffer.from("cranetrack 3"));
    return db;
  }

  /** Throws if an existing file is not an LMDB database: opening it would crash the process without a message. */
  static #checkFileHeader(path: string): void {
    if (!existsSync(path) || statSync(path).size === 0) return;
    const header = Buffer.alloc(8192);
    const file = openSync(path, "r");
    const length = readSync(file, header, 0, header.length, 0);
    closeSync(file);
    const hasMagic =
      length === header.length && [0, 4096].every((page) => header.readUInt32LE(page + 24) === LmdbDisk.#pageMagic);
    if (!hasMagic) throw new Error("its data.mdb is damaged or not an LMDB database");
  }

  static async #write(db: RootDatabase<Uint8Array, string>, changes: DiskChange[]): Promise<void> {
    const committed = db.batch(() => {
      for (const change of changes) {
        if ("isRemoved" in change) void db.remove(change.key);
        else void db.put(change.key, change.value);
      }
    });
    await committed;
    await db.flushed;
  }
}
