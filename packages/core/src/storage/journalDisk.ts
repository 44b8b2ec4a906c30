import { closeSync, existsSync, fstatSync, fsyncSync, ftruncateSync, openSync } from "node:fs";
import { readSync, renameSync, rmSync, writeSync } from "node:fs";
import { open, rename, rm, type FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { DataFolderError } from "../errors.js";
import type { Disk, DiskChange } from "./disk.js";
import { JournalRecord, type ReadRecord } from "./journalRecord.js";
import { NewFolder } from "./newFolder.js";

/** Where a value is in the journal file. */
interface ValueLocation {
  offset: number;
  length: number;
  /** The size of the encoded change, in bytes. */
  changeSize: number;
}
/** A call of `write` that is not committed yet. */
interface PendingWrite {
  changes: readonly DiskChange[];
  /** The encoded size of the changes, in bytes. */
  size: number;
  /** By how much the write increases the live bytes. */
  growth: number;
  resolve: () => void;
  reject: (cause: unknown) => void;
}
/** Options of a journal. */
export interface JournalOptions {
  /** The limit of the folder's size, in bytes; unlimited by default. */
  maxBytes?: number | undefined;
  /** Syncs the file; tests replace it. */
  sync?: (file: FileHandle) => Promise<void>;
  /** Called with the reason when writes begin to wait because the disk has no space. */
  onFull?: (text: string) => void;
  /** Up to this file size in bytes the journal is compacted only when space runs out; 4 MiB by default. */
  compactAt?: number;
  /** The delay in milliseconds between attempts to write while the disk has no space; 500 by default. */
  retryMs?: number;
}

/**
 * A disk in one append-only file of checksummed records, with one write and one fdatasync per group commit. Values
 * stay in the file; memory holds only their locations. A power failure can tear only the last record, whose writes
 * were not acknowledged yet.
 * Invariants: at most one record is not covered by a sync; `#endOffset` is the end of the last record that is covered;
 * a compacted file gets the journal's name only when all of it is synced; there is always room for one beside the file.
 */
export class JournalDisk implements Disk {
  static readonly #fileHeader = Buffer.from("cranetrack journal 1\n");
  /** Size in bytes of reads during replay, and of groups of values during compaction. */
  static readonly #chunkBytes = 65_536;
  /** The largest size in bytes of a group of several writes: a record needs room before the next one can free any. */
  static readonly #maxGroupBytes = 4 * 1024 * 1024;
  /** Error codes of the system that mean that the disk, the quota or the file has no space left. */
  static readonly #noSpaceCodes = new Set(["ENOSPC", "EDQUOT", "EFBIG"]);

  readonly #folder: string;
  readonly #options: Required<Omit<JournalOptions, "maxBytes">>;
  readonly #maxBytes: number;
  readonly #locations = new Map<string, ValueLocation>();
  #file: FileHandle;
  #endOffset = JournalDisk.#fileHeader.length;
  /** The file size at which compaction is tried again after it ran out of space, in bytes; otherwise 0. */
  #compactionFloorBytes = 0;
  #sequence = 0;
  /** The size of the newest changes of all present keys, in bytes: what compaction would keep. */
  #liveBytes = 0;
  /** The part of the live bytes under each first segment of the keys: a log is rewritten as a whole. */
  readonly #liveBytesOfLogs = new Map<string, number>();
  /** The largest of these parts; undefined after a change, until it is needed. */
  #largestLogBytes: number | undefined;
  #pendingWrites: PendingWrite[] = [];
  /** By how much all uncommitted writes increase the live bytes. */
  #pendingGrowth = 0;
  #commitLoop: Promise<void> | undefined;
  #isClosed = false;
  /** Why writes wait while the disk has no space; otherwise empty. */
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

  /** Opens the journal in a folder, creating both if needed. Throws `DataFolderError` if it is damaged or foreign. */
  static async open(folder: string, options: JournalOptions = {}): Promise<JournalDisk> {
    try {
      NewFolder.make(folder);
      if (existsSync(join(folder, "data.mdb"))) throw new Error("it holds the data of another disk format");
      const path = join(folder, "journal");
      JournalDisk.#finishCompaction(path, join(folder, "journal.new"));
      JournalDisk.#prepareHeader(path);
      const disk = new JournalDisk(folder, await open(path, "r+"), options);
      disk.#replay();
      // A killed process may have left writes that no sync covers. They were replayed, so they must be made durable.
      await disk.#options.sync(disk.#file);
      NewFolder.sync(folder);
      return disk;
    } catch (cause) {
      throw new DataFolderError(`the data folder ${folder} cannot be used`, cause);
    }
  }

  read(prefix: string): Array<{ key: string; value: Uint8Array }> {
    const keys = [...this.#locations.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, value: this.#readValue(this.#locations.get(key)!) }));
  }

  write(changes: DiskChange[]): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#isClosed) return;
      const size = changes.reduce((sum, change) => sum + JournalRecord.changeSize(change), 0);
      const growth = changes.reduce((sum, change) => sum + this.#liveBytesGrowth(change), 0);
      this.#pendingGrowth += growth;
      this.#pendingWrites.push({ changes, size, growth, resolve, reject });
      this.#commitLoop ??= this.#runCommitLoop();
    });
  }

  fillShare(extraBytes: number): number {
    const liveBytes = this.#liveBytes + Math.max(0, this.#pendingGrowth) + extraBytes;
    // The present values, the compacted file that replaces them, and the next snapshot of the largest log.
    const neededBytes = 2 * liveBytes + this.#largestLog() + extraBytes;
    return this.fault === "" ? neededBytes / this.#maxBytes : Math.max(1, neededBytes / this.#maxBytes);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    if (this.fault === "") await this.#commitLoop;
    await this.#file.close();
  }

  /**
   * Commits one group of writes after the other. While a group does not fit on the disk, it is retried together with
   * the writes requested since, whose removals may free space.
   */
  async #runCommitLoop(): Promise<void> {
    // Writes that are requested in the same turn of the event loop form one group.
    await Promise.resolve();
    while (this.#pendingWrites.length > 0) {
      const writes = this.#takeGroup();
      try {
        while (!(await this.#commit(writes.flatMap((write) => write.changes))) && !this.#isClosed) {
          await new Promise((resolve) => setTimeout(resolve, this.#options.retryMs));
          writes.push(...this.#pendingWrites.splice(0));
        }
        if (this.fault !== "") return;
        for (const { growth, resolve } of writes) {
          this.#pendingGrowth -= growth;
          resolve();
        }
      } catch (cause) {
        // After a failed sync the content of the file is unknown: it may be read again only after a restart.
        this.#isClosed = true;
        for (const write of [...writes, ...this.#pendingWrites.splice(0)]) write.reject(cause);
      }
    }
    this.#commitLoop = undefined;
  }

  /** Removes the oldest pending writes, at least one, which form the next group. */
  #takeGroup(): PendingWrite[] {
    let count = 1;
    let size = this.#pendingWrites[0]!.size;
    while (count < this.#pendingWrites.length) {
      size += this.#pendingWrites[count]!.size;
      if (size > JournalDisk.#maxGroupBytes) break;
      count += 1;
    }
    return this.#pendingWrites.splice(0, count);
  }

  /** Commits the changes as one record; false if there is no space for it now. */
  async #commit(requested: readonly DiskChange[]): Promise<boolean> {
    const changes = [...new Map(requested.map((change) => [change.key, change])).values()];
    const recordSize =
      JournalRecord.headerBytes + changes.reduce((sum, change) => sum + JournalRecord.changeSize(change), 0);
    const liveBytesAfter = this.#liveBytes + changes.reduce((sum, change) => sum + this.#liveBytesGrowth(change), 0);
    // Besides the file itself there must be space for the compacted file that replaces it.
    const hasRoomAt = (endOffset: number): boolean => endOffset + recordSize + liveBytesAfter <= this.#maxBytes;
    const hasRoom = (): boolean => hasRoomAt(this.#endOffset);
    try {
      const isCompactionDue =
        this.#endOffset + recordSize >
        Math.max(this.#options.compactAt, 2 * this.#liveBytes, this.#compactionFloorBytes);
      if (isCompactionDue || (!hasRoom() && hasRoomAt(this.#compactedSize))) await this.#tryCompact();
      if (!hasRoom()) return this.#reportFull(`${this.#liveBytes} bytes are kept, ${this.#maxBytes} is the limit`);
      const record = JournalRecord.encode(this.#sequence + 1, changes);
      await JournalDisk.#writeAt(this.#file, record, this.#endOffset);
      await this.#options.sync(this.#file);
      this.#apply(JournalRecord.decode(record, 0) as ReadRecord);
    } catch (cause) {
      if (JournalDisk.#isOutOfSpace(cause)) return this.#reportFull((cause as Error).message);
      throw cause;
    }
    this.fault = "";
    return true;
  }

  #liveBytesGrowth(change: DiskChange): number {
    const replacedSize = this.#locations.get(change.key)?.changeSize ?? 0;
    return ("isRemoved" in change ? 0 : JournalRecord.changeSize(change)) - replacedSize;
  }

  /** About the size of the file after a compaction, in bytes. */
  get #compactedSize(): number {
    const recordCount = Math.ceil(this.#liveBytes / JournalDisk.#chunkBytes);
    return JournalDisk.#fileHeader.length + this.#liveBytes + recordCount * JournalRecord.headerBytes;
  }

  #largestLog(): number {
    this.#largestLogBytes ??= Math.max(0, ...this.#liveBytesOfLogs.values());
    return this.#largestLogBytes;
  }

  #addLiveBytes(key: string, bytes: number): void {
    const [log] = key.split("/", 1);
    this.#liveBytes += bytes;
    this.#liveBytesOfLogs.set(log!, (this.#liveBytesOfLogs.get(log!) ?? 0) + bytes);
    this.#largestLogBytes = undefined;
  }

  /** Sets the fault and reports it once, when the disk becomes full. Returns false for `#commit` to return. */
  #reportFull(reason: string): false {
    if (this.fault === "") this.#options.onFull(`the data folder is full, writes wait: ${reason}`);
    this.fault = `the data folder is full, writes wait: ${reason}`;
    return false;
  }

  #apply(record: ReadRecord): void {
    for (const { key, value } of record.changes) {
      this.#addLiveBytes(key, -(this.#locations.get(key)?.changeSize ?? 0));
      if (value === undefined) this.#locations.delete(key);
      else {
        const size = JournalRecord.changeHeaderBytes + Buffer.byteLength(key) + value.length;
        this.#locations.set(key, { offset: this.#endOffset + value.at, length: value.length, changeSize: size });
        this.#addLiveBytes(key, size);
      }
    }
    this.#sequence = record.sequence;
    this.#endOffset += record.end;
  }

  /**
   * Compacts the journal, or postpones that if a second file does not fit on the disk. The caller tries to write its
   * record in any case: it may still fit, and may contain the removals that free space.
   */
  async #tryCompact(): Promise<void> {
    try {
      await this.#compact();
      this.#compactionFloorBytes = 0;
    } catch (cause) {
      if (!JournalDisk.#isOutOfSpace(cause)) throw cause;
      this.#compactionFloorBytes = this.#endOffset + this.#options.compactAt / 4;
    }
  }

  static #isOutOfSpace(cause: unknown): boolean {
    const { code } = cause as NodeJS.ErrnoException;
    return code !== undefined && JournalDisk.#noSpaceCodes.has(code);
  }

  /** Writes all present values to a new file, which replaces the old one once it is synced. */
  async #compact(): Promise<void> {
    const path = join(this.#folder, "journal.new");
    const file = await open(path, "w+");
    const newLocations: Array<[string, ValueLocation]> = [];
    let endOffset = JournalDisk.#fileHeader.length;
    let sequence = this.#sequence;
    try {
      await JournalDisk.#writeAt(file, JournalDisk.#fileHeader, 0);
      let group: Array<{ key: string; value: Uint8Array }> = [];
      const writeGroup = async (): Promise<void> => {
        const bytes = JournalRecord.encode((sequence += 1), group);
        const record = JournalRecord.decode(bytes, 0) as ReadRecord;
        for (const { key, value } of record.changes)
          newLocations.push([
            key,
            { offset: endOffset + value!.at, length: value!.length, changeSize: this.#locations.get(key)!.changeSize },
          ]);
        await JournalDisk.#writeAt(file, bytes, endOffset);
        endOffset += bytes.length;
        group = [];
      };
      let groupSize = 0;
      for (const [key, entry] of this.#locations) {
        group.push({ key, value: this.#readValue(entry) });
        groupSize += entry.changeSize;
        if (groupSize < JournalDisk.#chunkBytes) continue;
        groupSize = 0;
        await writeGroup();
      }
      if (group.length > 0) await writeGroup();
      await this.#options.sync(file);
      await rename(path, join(this.#folder, "journal"));
    } catch (cause) {
      await file.close();
      await rm(path, { force: true });
      throw cause;
    }
    const oldFile = this.#file;
    this.#file = file;
    this.#endOffset = endOffset;
    this.#sequence = sequence;
    for (const [key, entry] of newLocations) this.#locations.set(key, entry);
    NewFolder.sync(this.#folder);
    await oldFile.close();
  }

  #readValue({ offset: at, length }: ValueLocation): Buffer {
    const value = Buffer.allocUnsafeSlow(length);
    if (readSync(this.#file.fd, value, 0, length, at) !== length)
      throw new Error("the journal file was truncated while open");
    return value;
  }

  /** Replays all records. Truncates a last record that a power failure tore; throws on any other damage. */
  #replay(): void {
    const { size } = fstatSync(this.#file.fd);
    let bytes = Buffer.alloc(0);
    let start = 0;
    while (this.#endOffset < size) {
      const record = JournalDisk.#decodeNext(bytes, start, this.#sequence);
      if (record !== undefined && "wants" in record) {
        const wanted = Math.max(record.wants, JournalDisk.#chunkBytes);
        const chunk = Buffer.allocUnsafe(Math.min(wanted, size - this.#endOffset));
        readSync(this.#file.fd, chunk, 0, chunk.length, this.#endOffset);
        if (chunk.length < record.wants) break;
        bytes = chunk;
        start = 0;
        continue;
      }
      if (record === undefined) break;
      const recordLength = record.end - start;
      this.#apply({ ...record, end: recordLength });
      start += recordLength;
    }
    if (this.#endOffset >= size) return;
    this.#throwIfDamaged(size);
    ftruncateSync(this.#file.fd, this.#endOffset);
  }

  /** Decodes the next record; undefined also if its sequence is not higher than the last one. */
  static #decodeNext(bytes: Buffer, start: number, lastSequence: number): ReturnType<typeof JournalRecord.decode> {
    const record = JournalRecord.decode(bytes, start);
    return record !== undefined && "sequence" in record && record.sequence <= lastSequence ? undefined : record;
  }

  /** Nothing follows a torn record. Throws if a valid record does: then synced data was altered. */
  #throwIfDamaged(size: number): void {
    const remainder = Buffer.alloc(size - this.#endOffset);
    readSync(this.#file.fd, remainder, 0, remainder.length, this.#endOffset);
    for (
      let offset = remainder.indexOf(JournalRecord.magic, 1);
      offset >= 0;
      offset = remainder.indexOf(JournalRecord.magic, offset + 1)
    ) {
      const record = JournalRecord.decode(remainder, offset);
      if (record !== undefined && "sequence" in record && record.sequence > this.#sequence)
        throw new Error(`its journal is damaged at ${this.#endOffset}`);
    }
  }

  /**
   * Finishes or discards a compaction that was interrupted. A compacted file is renamed only when all of it is synced.
   * If it exists without a journal, a power failure kept only half of the rename, and it is complete; beside a journal
   * it may be incomplete and is removed.
   */
  static #finishCompaction(path: string, compactedPath: string): void {
    if (!existsSync(path) && existsSync(compactedPath)) renameSync(compactedPath, path);
    else rmSync(compactedPath, { force: true });
  }

  /** Creates a journal without records if there is none, or its header is torn: then it never had a record. */
  static #prepareHeader(path: string): void {
    const head = JournalDisk.#fileHeader;
    const file = openSync(path, existsSync(path) ? "r+" : "w+");
    try {
      const found = Buffer.alloc(head.length);
      readSync(file, found, 0, found.length, 0);
      if (found.equals(head)) return;
      if (fstatSync(file).size > head.length) throw new Error("its journal file has no journal header");
      ftruncateSync(file, 0);
      writeSync(file, head, 0, head.length, 0);
      fsyncSync(file);
    } finally {
      closeSync(file);
    }
  }

  static async #writeAt(file: FileHandle, bytes: Uint8Array, offset: number): Promise<void> {
    for (let written = 0; written < bytes.length;)
      written += (await file.write(bytes, written, bytes.length - written, offset + written)).bytesWritten;
  }
}
