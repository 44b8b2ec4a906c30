import { closeSync, existsSync, fstatSync, fsyncSync, ftruncateSync, openSync } from "node:fs";
import { readSync, renameSync, rmSync, writeSync } from "node:fs";
import { open, rename, rm, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { DataFolderError } from "../errors.js";
import type { Disk, DiskChange } from "./disk.js";
import { JournalRecord, type ReadRecord } from "./journalRecord.js";
import { NewFolder } from "./newFolder.js";

interface ValueLocation {
  at: number;
  length: number;
  /** What the change takes in a record. */
  size: number;
}
interface PendingWrite {
  changes: readonly DiskChange[];
  resolve: () => void;
  reject: (cause: unknown) => void;
}
/** How a journal is kept; sizes in bytes. */
export interface JournalOptions {
  /** Room for everything in the folder; none given, none minded. */
  maxBytes?: number | undefined;
  /** The seam of the tests. */
  sync?: (file: FileHandle) => Promise<void>;
  onFull?: (text: string) => void;
  compactAt?: number;
  retryMs?: number;
}

/**
 * A disk in one append-only file of checksummed records: one write and one fdatasync a group commit. Values stay in
 * the file; memory holds where. What a loss of power tore is the last record, which was acknowledged to nobody.
 * Invariants: at most one record is not covered by a sync; `#end` is behind the last record that is;
 * a file gets its name only when all of it is synced.
 */
export class JournalDisk implements Disk {
  static readonly #head = Buffer.from("cranetrack journal 1\n");
  static readonly #chunk = 65_536;
  static readonly #room = new Set(["ENOSPC", "EDQUOT", "EFBIG"]);

  readonly #folder: string;
  readonly #options: Required<Omit<JournalOptions, "maxBytes">>;
  readonly #maxBytes: number;
  readonly #index = new Map<string, ValueLocation>();
  #file: FileHandle;
  #end = JournalDisk.#head.length;
  /** After a compaction that found no room: how long the file may become before the next one. */
  #longFrom = 0;
  #sequence = 0;
  #liveBytes = 0;
  #pending: PendingWrite[] = [];
  #running: Promise<void> | undefined;
  #isClosed = false;
  /** Why writes wait, while the disk has no room; empty else. */
  fault = "";

  private constructor(folder: string, file: FileHandle, options: JournalOptions) {
    this.#folder = folder;
    this.#file = file;
    this.#maxBytes = options.maxBytes ?? Infinity;
    this.#options = {
      sync: options.sync ?? ((synced) => synced.datasync()),
      onFull: options.onFull ?? (() => undefined),
      compactAt: options.compactAt ?? 4 * 1024 * 1024,
      retryMs: options.retryMs ?? 500,
    };
  }

  /** Opens a folder or makes it. Throws `DataFolderError` where it is not ours or is damaged. */
  static async open(folder: string, options: JournalOptions = {}): Promise<JournalDisk> {
    try {
      NewFolder.make(folder);
      if (existsSync(join(folder, "data.mdb"))) throw new Error("it holds the data of another disk format");
      const path = join(folder, "journal");
      JournalDisk.#finishCompaction(path, join(folder, "journal.new"));
      JournalDisk.#prepare(path);
      const disk = new JournalDisk(folder, await open(path, "r+"), options);
      disk.#load();
      // A process that was killed left writes that no sync covers: what was read must stay from here on.
      await disk.#options.sync(disk.#file);
      NewFolder.sync(folder);
      return disk;
    } catch (cause) {
      throw new DataFolderError(`the data folder ${folder} cannot be used`, cause);
    }
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const keys = [...this.#index.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, value: this.#value(this.#index.get(key)!) }));
  }

  write(changes: DiskChange[]): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#isClosed) return;
      this.#pending.push({ changes, resolve, reject });
      this.#running ??= this.#run();
    });
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    if (this.fault === "") await this.#running;
    await this.#file.close();
  }

  /** One group after the other; a group without room waits for it, and takes in what may make some. */
  async #run(): Promise<void> {
    // What is asked for in one go by the callers is one group.
    await Promise.resolve();
    while (this.#pending.length > 0) {
      const group: PendingWrite[] = [];
      try {
        do {
          group.push(...this.#pending.splice(0));
          if (await this.#commit(group.flatMap((one) => one.changes))) break;
          await new Promise((resolve) => setTimeout(resolve, this.#options.retryMs));
        } while (!this.#isClosed);
        if (this.fault !== "") return;
        for (const one of group) one.resolve();
      } catch (cause) {
        // After a failed sync nobody knows what the file holds: only a new start may read it.
        this.#isClosed = true;
        for (const one of [...group, ...this.#pending.splice(0)]) one.reject(cause);
      }
    }
    this.#running = undefined;
  }

  /** False where there is no room for it now. */
  async #commit(asked: readonly DiskChange[]): Promise<boolean> {
    const changes = [...new Map(asked.map((change) => [change.key, change])).values()];
    const size = JournalRecord.headBytes + changes.reduce((sum, change) => sum + JournalRecord.sizeOf(change), 0);
    const live = this.#liveBytes + changes.reduce((sum, change) => sum + this.#growth(change), 0);
    // Beside the file there is always room for the next one.
    const hasRoom = (): boolean => this.#end + size + live <= this.#maxBytes;
    try {
      const isLong = this.#end + size > Math.max(this.#options.compactAt, 2 * this.#liveBytes, this.#longFrom);
      if (isLong || (!hasRoom() && this.#end > 1.25 * this.#liveBytes)) await this.#tryCompact();
      if (!hasRoom()) return this.#isFull(`${this.#liveBytes} bytes are kept, ${this.#maxBytes} is the room`);
      const record = JournalRecord.encode(this.#sequence + 1, changes);
      await JournalDisk.#writeAt(this.#file, record, this.#end);
      await this.#options.sync(this.#file);
      this.#apply(JournalRecord.decode(record, 0) as ReadRecord);
    } catch (cause) {
      if (JournalDisk.#isRoomMissing(cause)) return this.#isFull((cause as Error).message);
      throw cause;
    }
    this.fault = "";
    return true;
  }

  #growth(change: DiskChange): number {
    const held = this.#index.get(change.key)?.size ?? 0;
    return ("isRemoved" in change ? 0 : JournalRecord.sizeOf(change)) - held;
  }

  #isFull(why: string): false {
    if (this.fault === "") this.#options.onFull(`the data folder is full, writes wait: ${why}`);
    this.fault = `the data folder is full, writes wait: ${why}`;
    return false;
  }

  #apply(record: ReadRecord): void {
    for (const { key, value } of record.changes) {
      this.#liveBytes -= this.#index.get(key)?.size ?? 0;
      if (value === undefined) this.#index.delete(key);
      else {
        const size = JournalRecord.changeBytes + Buffer.byteLength(key) + value.length;
        this.#index.set(key, { at: this.#end + value.at, length: value.length, size });
        this.#liveBytes += size;
      }
    }
    this.#sequence = record.sequence;
    this.#end += record.end;
  }

  /**
   * A disk without room for a second file may have room for one more record, and that may be the one that removes
   * what takes the room: so a compaction without room is put off, and the record is tried all the same.
   */
  async #tryCompact(): Promise<void> {
    try {
      await this.#compact();
      this.#longFrom = 0;
    } catch (cause) {
      if (!JournalDisk.#isRoomMissing(cause)) throw cause;
      this.#longFrom = this.#end + this.#options.compactAt / 4;
    }
  }

  static #isRoomMissing(cause: unknown): boolean {
    const { code } = cause as NodeJS.ErrnoException;
    return code !== undefined && JournalDisk.#room.has(code);
  }

  /** Everything that is kept, in a new file that takes the old one's name once it is synced. */
  async #compact(): Promise<void> {
    const path = join(this.#folder, "journal.new");
    const file = await open(path, "w+");
    const kept: Array<[string, ValueLocation]> = [];
    let end = JournalDisk.#head.length;
    let sequence = this.#sequence;
    try {
      await JournalDisk.#writeAt(file, JournalDisk.#head, 0);
      let group: Array<{ key: string; value: Uint8Array }> = [];
      const flush = async (): Promise<void> => {
        const bytes = JournalRecord.encode((sequence += 1), group);
        const record = JournalRecord.decode(bytes, 0) as ReadRecord;
        for (const { key, value } of record.changes)
          kept.push([key, { at: end + value!.at, length: value!.length, size: this.#index.get(key)!.size }]);
        await JournalDisk.#writeAt(file, bytes, end);
        end += bytes.length;
        group = [];
      };
      let size = 0;
      for (const [key, entry] of this.#index) {
        group.push({ key, value: this.#value(entry) });
        size += entry.size;
        if (size < JournalDisk.#chunk) continue;
        size = 0;
        await flush();
      }
      if (group.length > 0) await flush();
      await this.#options.sync(file);
      await rename(path, join(this.#folder, "journal"));
    } catch (cause) {
      await file.close();
      await rm(path, { force: true });
      throw cause;
    }
    const old = this.#file;
    this.#file = file;
    this.#end = end;
    this.#sequence = sequence;
    for (const [key, entry] of kept) this.#index.set(key, entry);
    NewFolder.sync(this.#folder);
    await old.close();
  }

  #value({ at, length }: ValueLocation): Buffer {
    const value = Buffer.allocUnsafeSlow(length);
    if (readSync(this.#file.fd, value, 0, length, at) !== length) throw new Error("the journal became shorter");
    return value;
  }

  /** Takes record after record; cuts off what a loss of power tore, and believes nothing else that is damaged. */
  #load(): void {
    const { size } = fstatSync(this.#file.fd);
    let bytes = Buffer.alloc(0);
    let start = 0;
    while (this.#end < size) {
      const record = JournalDisk.#decodeNext(bytes, start, this.#sequence);
      if (record !== undefined && "wants" in record) {
        const wanted = Math.max(record.wants, JournalDisk.#chunk);
        const chunk = Buffer.allocUnsafe(Math.min(wanted, size - this.#end));
        readSync(this.#file.fd, chunk, 0, chunk.length, this.#end);
        if (chunk.length < record.wants) break;
        bytes = chunk;
        start = 0;
        continue;
      }
      if (record === undefined) break;
      const next = record.end - start;
      this.#apply({ ...record, end: next });
      start += next;
    }
    if (this.#end >= size) return;
    this.#refuseDamage(size);
    ftruncateSync(this.#file.fd, this.#end);
  }

  static #decodeNext(bytes: Buffer, start: number, last: number): ReturnType<typeof JournalRecord.decode> {
    const record = JournalRecord.decode(bytes, start);
    return record !== undefined && "sequence" in record && record.sequence <= last ? undefined : record;
  }

  /** Behind a torn record there is nothing: a whole one there means that something synced was altered. */
  #refuseDamage(size: number): void {
    const rest = Buffer.alloc(size - this.#end);
    readSync(this.#file.fd, rest, 0, rest.length, this.#end);
    for (let at = rest.indexOf(JournalRecord.magic, 1); at >= 0; at = rest.indexOf(JournalRecord.magic, at + 1)) {
      const record = JournalRecord.decode(rest, at);
      if (record !== undefined && "sequence" in record && record.sequence > this.#sequence)
        throw new Error(`its journal is damaged at ${this.#end}`);
    }
  }

  /**
   * A new file is given the journal's name only when all of it is synced. So where it is there alone, a loss of power
   * kept one half of the renaming, and it has everything; beside a journal it may be unfinished, and is dropped.
   */
  static #finishCompaction(path: string, successor: string): void {
    if (!existsSync(path) && existsSync(successor)) renameSync(successor, path);
    else rmSync(successor, { force: true });
  }

  /** A journal without records, unless one is there; one whose head is torn has never had a record. */
  static #prepare(path: string): void {
    const head = JournalDisk.#head;
    const file = openSync(path, existsSync(path) ? "r+" : "w+");
    try {
      const found = Buffer.alloc(head.length);
      readSync(file, found, 0, found.length, 0);
      if (found.equals(head)) return;
      if (fstatSync(file).size > head.length) throw new Error("its journal is no journal of ours");
      ftruncateSync(file, 0);
      writeSync(file, head, 0, head.length, 0);
      fsyncSync(file);
    } finally {
      closeSync(file);
    }
  }

  static async #writeAt(file: FileHandle, bytes: Uint8Array, place: number): Promise<void> {
    for (let done = 0; done < bytes.length;)
      done += (await file.write(bytes, done, bytes.length - done, place + done)).bytesWritten;
  }
}
