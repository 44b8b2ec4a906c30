import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { DataFolderError, InvariantViolationError } from "../errors.js";
import { EntrySchema, SnapshotSchema, type Entry } from "../gen/cranetrack_pb.js";
import { decodeMessage, encodeMessage } from "../rpc/codec.js";
import type { Disk, DiskChange } from "../storage/disk.js";

/**
 * How many of the entries that a snapshot covers stay in the log, at most; they spare followers that lag only a little
 * a transfer of the snapshot.
 */
export interface KeptTail {
  readonly entries: number;
  readonly bytes: number;
}

/**
 * One replica's copy of a replicated log, in memory and on disk: a snapshot up to `snapshotIndex` and the entries from
 * `baseIndex + 1` on, some of which the snapshot may cover too. If it does, the entry at `baseIndex` stays on disk,
 * because it holds the term of the base.
 * Invariants: baseIndex <= snapshotIndex <= lastIndex; entries are contiguous from baseIndex + 1; entries up to
 * `syncedIndex` survive a power failure; `term` and `vote` are synced before the call of `saveTermAndVote` that sets
 * them resolves.
 */
export class ReplicaLog {
  readonly group: string;
  readonly #disk: Disk;
  #entries: Entry[] = [];
  /** The index before the first entry in memory. */
  baseIndex = 0;
  baseTerm = 0;
  snapshotIndex = 0;
  snapshotTerm = 0;
  snapshot: Uint8Array = new Uint8Array();
  /** The lowest index whose entry may be on disk. */
  #firstStoredIndex = 1;
  term = 0;
  /** The candidate that got this replica's vote in `term`; empty if none did. */
  vote = "";
  syncedIndex = 0;
  /** The newest write of term and vote. */
  #termWrite: Promise<void> = Promise.resolve();

  /** Loads the log from disk. Throws `DataFolderError` where a record cannot be read; gaps are left to `findDamage`. */
  constructor(disk: Disk, group: string) {
    this.group = group;
    this.#disk = disk;
    for (const { key, value } of disk.read(`${group}/`)) this.#loadRecord(key, value);
    this.#restoreBase();
    this.syncedIndex = this.lastIndex;
  }

  get lastIndex(): number {
    return this.baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.baseTerm;
  }

  /** The number of entries in memory. */
  get length(): number {
    return this.#entries.length;
  }

  /** About the size of the snapshot and the entries on disk, in bytes. */
  get storedBytes(): number {
    return this.#entries.reduce((sum, { data }) => sum + data.length, this.snapshot.length);
  }

  /** The entry at an index; undefined if the log does not hold it. */
  entryAt(index: number): Entry | undefined {
    return this.#entries[index - this.baseIndex - 1];
  }

  /** The term of the entry at an index, the base included; undefined if the log does not know it. */
  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.entryAt(index)?.term;
  }

  /** The entries after an index, up to about `maxBytes`, so that they fit into one frame. */
  entriesAfter(index: number, maxBytes = 1024 * 1024): Entry[] {
    const entries: Entry[] = [];
    let sizeBytes = 0;
    for (let i = index + 1; i <= this.lastIndex && sizeBytes < maxBytes; i += 1) {
      const entry = this.entryAt(i)!;
      sizeBytes += entry.data.length + 32;
      entries.push(entry);
    }
    return entries;
  }

  /** Stores a term and a vote; resolves once they are synced. No lower term may be accepted from then on. */
  saveTermAndVote(term: number, vote: string): Promise<void> {
    this.term = term;
    this.vote = vote;
    this.#termWrite = this.#disk.write([this.#termAndVoteChange()]);
    return this.#termWrite;
  }

  /** Resolves once the current term is synced, including a term that is set while waiting. */
  async termSynced(): Promise<void> {
    let awaitedWrite: Promise<void>;
    do {
      awaitedWrite = this.#termWrite;
      await awaitedWrite;
    } while (awaitedWrite !== this.#termWrite);
  }

  /** Resolves once the log is synced up to an index. */
  syncedUpTo(index: number): Promise<void> {
    if (this.syncedIndex >= index) return Promise.resolve();
    const term = this.termAt(index);
    return this.#disk.write([]).then(() => this.#markSynced(index, term));
  }

  /** The index before the first of the contiguous entries that have the same term as the entry at `index`. */
  beforeTermOf(index: number): number {
    const term = this.termAt(index);
    let firstOfTerm = index;
    while (firstOfTerm > this.baseIndex && this.termAt(firstOfTerm - 1) === term) firstOfTerm -= 1;
    return firstOfTerm - 1;
  }

  /** Appends entries after the last one; resolves once they are synced. Throws if they leave a gap. */
  append(entries: readonly Entry[]): Promise<void> {
    return this.#appendAndWrite(entries, []);
  }

  /**
   * Makes the log match the leader's entries after prevIndex, truncating it at the first conflict; resolves once they
   * are synced. The caller has checked that the logs match at prevIndex.
   */
  reconcile(prevIndex: number, entries: readonly Entry[]): Promise<void> {
    const differing = entries.filter(
      (entry) => entry.index > this.baseIndex && this.termAt(entry.index) !== entry.term,
    );
    const firstDiffering = differing[0];
    if (firstDiffering === undefined) return this.syncedUpTo(prevIndex + entries.length);
    return this.#appendAndWrite(
      entries.filter((entry) => entry.index >= firstDiffering.index),
      this.#truncateAfter(firstDiffering.index - 1),
    );
  }

  /** Replaces the whole log by a snapshot received from the leader; resolves once it is synced. */
  async installSnapshot(index: number, term: number, snapshot: Uint8Array): Promise<void> {
    const changes = [...this.#removeStoredUpTo(this.baseIndex), ...this.#truncateAfter(this.baseIndex)];
    this.baseIndex = this.snapshotIndex = index;
    this.baseTerm = this.snapshotTerm = term;
    this.snapshot = snapshot;
    this.#firstStoredIndex = index + 1;
    this.syncedIndex = 0;
    await this.#disk.write([...changes, this.#snapshotChange()]);
    this.#markSynced(index, term);
  }

  /** Replaces the entries up to an index, except the kept tail, by a snapshot; resolves once that is synced. */
  compact(index: number, snapshot: Uint8Array, kept: KeptTail = { entries: 0, bytes: 0 }): Promise<void> {
    const term = this.termAt(index);
    if (term === undefined || index <= this.snapshotIndex) return Promise.resolve();
    const base = this.#baseOfTail(index, kept);
    const baseTerm = this.termAt(base)!;
    const changes = this.#removeStoredUpTo(base === index ? base : base - 1);
    this.#entries = this.#entries.slice(base - this.baseIndex);
    this.baseIndex = base;
    this.baseTerm = baseTerm;
    this.snapshotIndex = index;
    this.snapshotTerm = term;
    this.snapshot = snapshot;
    return this.#disk.write([...changes, this.#snapshotChange()]);
  }

  /** Removes the log's entries and snapshot from memory and disk; term and vote stay. */
  wipe(): Promise<void> {
    const changes: DiskChange[] = this.#disk
      .read(`${this.group}/`)
      .map(({ key }) => ({ key, isRemoved: true as const }));
    this.#entries = [];
    this.baseIndex = this.baseTerm = this.snapshotIndex = this.snapshotTerm = this.syncedIndex = 0;
    this.#firstStoredIndex = 1;
    this.snapshot = new Uint8Array();
    return this.#disk.write([...changes, this.#termAndVoteChange()]);
  }

  /** The lowest base index for which the entries from there to `index` are within the bounds of the kept tail. */
  #baseOfTail(index: number, kept: KeptTail): number {
    let base = index;
    let bytes = 0;
    while (base > this.baseIndex && index - base < kept.entries) {
      bytes += this.entryAt(base)!.data.length;
      if (bytes > kept.bytes) break;
      base -= 1;
    }
    return base;
  }

  #removeStoredUpTo(last: number): DiskChange[] {
    const changes: DiskChange[] = [];
    for (let i = this.#firstStoredIndex; i <= last; i += 1) changes.push({ key: this.#entryKey(i), isRemoved: true });
    this.#firstStoredIndex = Math.max(this.#firstStoredIndex, last + 1);
    return changes;
  }

  #appendAndWrite(entries: readonly Entry[], changes: DiskChange[]): Promise<void> {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1)
        throw new InvariantViolationError(
          `${this.group} was given entry ${entry.index} to append after entry ${this.lastIndex}`,
        );
      this.#entries.push(entry);
      changes.push({ key: this.#entryKey(entry.index), value: encodeMessage(EntrySchema, entry) });
    }
    const last = this.lastIndex;
    const term = this.lastTerm;
    return this.#disk.write(changes).then(() => this.#markSynced(last, term));
  }

  #markSynced(index: number, term: number | undefined): void {
    if (term !== undefined && this.termAt(index) === term) this.syncedIndex = Math.max(this.syncedIndex, index);
  }

  #truncateAfter(index: number): DiskChange[] {
    const changes: DiskChange[] = [];
    for (let i = index + 1; i <= this.lastIndex; i += 1) changes.push({ key: this.#entryKey(i), isRemoved: true });
    this.#entries.length = Math.max(0, index - this.baseIndex);
    this.syncedIndex = Math.min(this.syncedIndex, index);
    return changes;
  }

  #entryKey(index: number): string {
    return `${this.group}/e/${String(index).padStart(16, "0")}`;
  }

  #termAndVoteChange(): DiskChange {
    return { key: `${this.group}/m`, value: Buffer.from(JSON.stringify({ term: this.term, vote: this.vote })) };
  }

  #snapshotChange(): DiskChange {
    const value = toBinary(
      SnapshotSchema,
      create(SnapshotSchema, { index: this.snapshotIndex, indexTerm: this.snapshotTerm, state: this.snapshot }),
    );
    return { key: `${this.group}/p`, value };
  }

  #loadRecord(key: string, value: Uint8Array): void {
    const recordName = key.slice(this.group.length + 1);
    try {
      if (recordName === "m")
        ({ term: this.term, vote: this.vote } = JSON.parse(Buffer.from(value).toString()) as {
          term: number;
          vote: string;
        });
      else if (recordName === "p") this.#loadSnapshot(value);
      else if (recordName.startsWith("e/")) this.#entries.push(decodeMessage(EntrySchema, value));
    } catch (cause) {
      throw new DataFolderError(`the data folder is damaged at ${key}`, cause);
    }
  }

  #loadSnapshot(value: Uint8Array): void {
    const snapshot = fromBinary(SnapshotSchema, value);
    this.snapshotIndex = snapshot.index;
    this.snapshotTerm = snapshot.indexTerm;
    this.snapshot = snapshot.state;
  }

  /** The first stored entry that the snapshot covers is the base. If it covers none, the snapshot's end is the base. */
  #restoreBase(): void {
    const first = this.#entries[0];
    this.#firstStoredIndex = first?.index ?? this.snapshotIndex + 1;
    const hasTail = first !== undefined && first.index <= this.snapshotIndex;
    if (hasTail) this.#entries.shift();
    this.baseIndex = hasTail ? first.index : this.snapshotIndex;
    this.baseTerm = hasTail ? first.term : this.snapshotTerm;
  }

  /** Describes a gap in the loaded log; undefined if there is none. */
  findDamage(): string | undefined {
    const gapPosition = this.#entries.findIndex((entry, i) => entry.index !== this.baseIndex + 1 + i);
    const isShort = this.lastIndex < this.snapshotIndex;
    if (gapPosition === -1 && !isShort) return undefined;
    const missingIndex = gapPosition === -1 ? this.lastIndex + 1 : this.baseIndex + 1 + gapPosition;
    return `the data folder is damaged: ${this.group} misses entry ${missingIndex}`;
  }
}
