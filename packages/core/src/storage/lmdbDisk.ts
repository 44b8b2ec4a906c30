import { closeSync, existsSync, openSync, readSync, statSync } from "node:fs";
import { join } from "node:path";
import { open, type RootDatabase } from "lmdb";
import { DataFolderError } from "../errors.js";
import type { Disk, DiskChange } from "./disk.js";
import { NewFolder } from "./newFolder.js";

/** Options of a database. */
export interface LmdbOptions {
  /** The limit of the size of all values, in bytes; unlimited by default. */
  maxBytes?: number | undefined;
  /** Called with the reason when writes begin to wait because the limit is reached. */
  onFull?: (text: string) => void;
  /** The delay in milliseconds between attempts to write while the limit is reached; 500 by default. */
  retryMs?: number;
}
/** The page counts among the statistics of a database. */
interface PageCounts {
  pageSize: number;
  treeBranchPageCount: number;
  treeLeafPageCount: number;
  overflowPages: number;
}
/** A call of `write` that waits for room. */
interface WaitingWrite {
  changes: readonly DiskChange[];
  resolve: (written: Promise<void>) => void;
}

/**
 * A disk in an LMDB database. lmdb-js may resolve a commit before it is flushed (overlapping sync), so `write` waits
 * for the flush that covers it. Pages are written anew before the old ones are free, and the file never shrinks.
 * Invariant: while a write waits for room, all later ones wait behind it, and are committed together with it.
 */
export class LmdbDisk implements Disk {
  /** The magic number that LMDB writes into both of its first two pages. */
  static readonly #pageMagic = 0xbeefc0de;
  readonly #db: RootDatabase<Uint8Array, string>;
  readonly #options: Required<LmdbOptions>;
  /** The size of the largest value that was written, in bytes. */
  #largestValueBytes = 0;
  /** The size of the values of all writes in progress, in bytes. */
  #pendingBytes = 0;
  readonly #waitingWrites: WaitingWrite[] = [];
  #isClosed = false;
  /** Why writes wait while the limit is reached; otherwise empty. */
  fault = "";

  /** Opens or creates the database in a folder. Throws `DataFolderError` if it is damaged or of another program. */
  constructor(folder: string, { maxBytes, onFull, retryMs }: LmdbOptions = {}) {
    this.#options = { maxBytes: maxBytes ?? Infinity, onFull: onFull ?? (() => undefined), retryMs: retryMs ?? 500 };
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
    if (this.#waitingWrites.length === 0 && this.#hasRoomFor(LmdbDisk.#valueBytes(changes)))
      return this.#commit(changes);
    return new Promise((resolve) => {
      this.#waitingWrites.push({ changes, resolve });
      if (this.#waitingWrites.length === 1) this.#commitWaiting();
    });
  }

  fillShare(extraBytes: number): number {
    const neededBytes = this.#usedBytes + this.#pendingBytes + this.#largestValueBytes + extraBytes;
    const share = neededBytes / this.#options.maxBytes;
    return this.fault === "" ? share : Math.max(1, share);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    await this.#db.close();
  }

  /** The size of the pages that hold present values, in bytes. */
  get #usedBytes(): number {
    if (this.#options.maxBytes === Infinity) return 0;
    const { pageSize, treeBranchPageCount, treeLeafPageCount, overflowPages } = this.#db.getStats() as PageCounts;
    return pageSize * (treeBranchPageCount + treeLeafPageCount + overflowPages);
  }

  #hasRoomFor(growth: number): boolean {
    return this.#usedBytes + this.#pendingBytes + growth <= this.#options.maxBytes;
  }

  async #commit(changes: readonly DiskChange[]): Promise<void> {
    const bytes = LmdbDisk.#valueBytes(changes);
    this.#pendingBytes += bytes;
    for (const change of changes)
      if (!("isRemoved" in change)) this.#largestValueBytes = Math.max(this.#largestValueBytes, change.value.length);
    await LmdbDisk.#write(this.#db, changes);
    this.#pendingBytes -= bytes;
  }

  /** Commits all waiting writes in one step as soon as there is room for them: later ones may free what it takes. */
  #commitWaiting(): void {
    if (this.#isClosed) return;
    const changes = this.#waitingWrites.flatMap((write) => write.changes);
    const replaced = new Set(changes.map(({ key }) => key));
    const freedBytes = [...replaced].reduce((sum, key) => sum + (this.#db.get(key)?.length ?? 0), 0);
    if (!this.#hasRoomFor(LmdbDisk.#valueBytes(changes) - freedBytes)) {
      this.#reportFull();
      setTimeout(() => this.#commitWaiting(), this.#options.retryMs);
      return;
    }
    this.fault = "";
    const written = this.#commit(changes);
    for (const { resolve } of this.#waitingWrites.splice(0)) resolve(written);
  }

  #reportFull(): void {
    const text = `the data folder is full, writes wait: ${this.#options.maxBytes} bytes is the limit`;
    if (this.fault === "") this.#options.onFull(text);
    this.fault = text;
  }

  static #valueBytes(changes: readonly DiskChange[]): number {
    return changes.reduce((sum, change) => sum + ("isRemoved" in change ? 0 : change.value.length), 0);
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

  static async #write(db: RootDatabase<Uint8Array, string>, changes: readonly DiskChange[]): Promise<void> {
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
