import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { DataFolderError, InvariantViolationError } from "../errors.js";
import { EntrySchema, SnapshotSchema, type Entry } from "../gen/cranetrack_pb.js";
import { decodeMessage, encodeMessage } from "../rpc/codec.js";
import type { Disk, DiskChange } from "../storage/disk.js";

/** How much of a log stays in front of a snapshot's end, for followers that nearly have it. */
export interface KeptTail {
  readonly entries: number;
  readonly bytes: number;
}

/**
 * One replica's copy of a replicated log on its disk: a snapshot up to `snapshotIndex`, and entries from
 * `baseIndex + 1` on, some of which the snapshot covers as well. On the disk the entry at `baseIndex` stays where
 * such entries are kept: it says the term of the base.
 * Invariants: baseIndex <= snapshotIndex <= lastIndex; entries are contiguous from baseIndex + 1; `syncedIndex` never
 * passes what would survive a loss of power; `term` and `vote` are synced before the promise that sets them resolves.
 */
export class ReplicaLog {
  readonly group: string;
  readonly #disk: Disk;
  #entries: Entry[] = [];
  baseIndex = 0;
  baseTerm = 0;
  snapshotIndex = 0;
  snapshotTerm = 0;
  snapshot: Uint8Array = new Uint8Array();
  /** The lowest entry that may be on the disk. */
  #firstOnDisk = 1;
  term = 0;
  vote = "";
  syncedIndex = 0;
  /** The write of the newest promise. */
  #promised: Promise<void> = Promise.resolve();

  constructor(disk: Disk, group: string) {
    this.group = group;
    this.#disk = disk;
    for (const { key, value } of disk.read(`${group}/`)) this.#load(key, value);
    this.#findBase();
    this.syncedIndex = this.lastIndex;
  }

  get lastIndex(): number {
    return this.baseIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.baseTerm;
  }

  get length(): number {
    return this.#entries.length;
  }

  at(index: number): Entry | undefined {
    return this.#entries[index - this.baseIndex - 1];
  }

  termAt(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.at(index)?.term;
  }

  /** Entries after an index, as many as fit a frame. */
  after(index: number, maxBytes = 1024 * 1024): Entry[] {
    const found: Entry[] = [];
    let size = 0;
    for (let i = index + 1; i <= this.lastIndex && size < maxBytes; i += 1) {
      const entry = this.at(i)!;
      size += entry.data.length + 32;
      found.push(entry);
    }
    return found;
  }

  promise(term: number, vote: string): Promise<void> {
    this.term = term;
    this.vote = vote;
    this.#promised = this.#disk.write([this.#meta()]);
    return this.#promised;
  }

  /** Resolves once the term in force is synced; a term that rises meanwhile is waited for as well. */
  async termSynced(): Promise<void> {
    let awaited: Promise<void>;
    do {
      awaited = this.#promised;
      await awaited;
    } while (awaited !== this.#promised);
  }

  /** Resolves once what the log holds up to an index is synced. */
  syncedUpTo(index: number): Promise<void> {
    if (this.syncedIndex >= index) return Promise.resolve();
    const term = this.termAt(index);
    return this.#disk.write([]).then(() => this.#synced(index, term));
  }

  /** The index before the run of entries that have the term of the entry at `index`. */
  beforeTermOf(index: number): number {
    const term = this.termAt(index);
    let first = index;
    while (first > this.baseIndex && this.termAt(first - 1) === term) first -= 1;
    return first - 1;
  }

  /** Appends behind the last entry. */
  append(entries: readonly Entry[]): Promise<void> {
    return this.#write(entries, []);
  }

  /**
   * Makes the log agree with another's entries that follow prevIndex; what conflicts is cut off.
   * The caller has checked that prevIndex agrees.
   */
  agree(prevIndex: number, entries: readonly Entry[]): Promise<void> {
    const fresh = entries.filter((entry) => entry.index > this.baseIndex && this.termAt(entry.index) !== entry.term);
    const first = fresh[0];
    if (first === undefined) return this.syncedUpTo(prevIndex + entries.length);
    return this.#write(
      entries.filter((entry) => entry.index >= first.index),
      this.#cutAfter(first.index - 1),
    );
  }

  /** Puts another's snapshot in place of everything. */
  async install(index: number, term: number, snapshot: Uint8Array): Promise<void> {
    const changes = [...this.#dropFromDisk(this.baseIndex), ...this.#cutAfter(this.baseIndex)];
    this.baseIndex = this.snapshotIndex = index;
    this.baseTerm = this.snapshotTerm = term;
    this.snapshot = snapshot;
    this.#firstOnDisk = index + 1;
    this.syncedIndex = 0;
    await this.#disk.write([...changes, this.#snapshotChange()]);
    this.#synced(index, term);
  }

  /** Lets a snapshot stand for the entries up to an index, and drops them but for a tail. */
  compact(index: number, snapshot: Uint8Array, kept: KeptTail = { entries: 0, bytes: 0 }): Promise<void> {
    const term = this.termAt(index);
    if (term === undefined || index <= this.snapshotIndex) return Promise.resolve();
    const base = this.#tailBase(index, kept);
    const baseTerm = this.termAt(base)!;
    const changes = this.#dropFromDisk(base === index ? base : base - 1);
    this.#entries = this.#entries.slice(base - this.baseIndex);
    this.baseIndex = base;
    this.baseTerm = baseTerm;
    this.snapshotIndex = index;
    this.snapshotTerm = term;
    this.snapshot = snapshot;
    return this.#disk.write([...changes, this.#snapshotChange()]);
  }

  /** Takes the whole log off the disk. */
  wipe(): Promise<void> {
    const changes: DiskChange[] = this.#disk
      .read(`${this.group}/`)
      .map(({ key }) => ({ key, isRemoved: true as const }));
    this.#entries = [];
    this.baseIndex = this.baseTerm = this.snapshotIndex = this.snapshotTerm = this.syncedIndex = 0;
    this.#firstOnDisk = 1;
    this.snapshot = new Uint8Array();
    return this.#disk.write([...changes, this.#meta()]);
  }

  /** The lowest base with which the entries up to an index are no more than a tail may be. */
  #tailBase(index: number, kept: KeptTail): number {
    let base = index;
    let bytes = 0;
    while (base > this.baseIndex && index - base < kept.entries) {
      bytes += this.at(base)!.data.length;
      if (bytes > kept.bytes) break;
      base -= 1;
    }
    return base;
  }

  #dropFromDisk(last: number): DiskChange[] {
    const changes: DiskChange[] = [];
    for (let i = this.#firstOnDisk; i <= last; i += 1) changes.push({ key: this.#key(i), isRemoved: true });
    this.#firstOnDisk = Math.max(this.#firstOnDisk, last + 1);
    return changes;
  }

  #write(entries: readonly Entry[], changes: DiskChange[]): Promise<void> {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1)
        throw new InvariantViolationError(`${this.group} got entry ${entry.index} behind ${this.lastIndex}`);
      this.#entries.push(entry);
      changes.push({ key: this.#key(entry.index), value: encodeMessage(EntrySchema, entry) });
    }
    const last = this.lastIndex;
    const term = this.lastTerm;
    return this.#disk.write(changes).then(() => this.#synced(last, term));
  }

  #synced(index: number, term: number | undefined): void {
    if (term !== undefined && this.termAt(index) === term) this.syncedIndex = Math.max(this.syncedIndex, index);
  }

  #cutAfter(index: number): DiskChange[] {
    const changes: DiskChange[] = [];
    for (let i = index + 1; i <= this.lastIndex; i += 1) changes.push({ key: this.#key(i), isRemoved: true });
    this.#entries.length = Math.max(0, index - this.baseIndex);
    this.syncedIndex = Math.min(this.syncedIndex, index);
    return changes;
  }

  #key(index: number): string {
    return `${this.group}/e/${String(index).padStart(16, "0")}`;
  }

  #meta(): DiskChange {
    return { key: `${this.group}/m`, value: Buffer.from(JSON.stringify({ term: this.term, vote: this.vote })) };
  }

  #snapshotChange(): DiskChange {
    const value = toBinary(
      SnapshotSchema,
      create(SnapshotSchema, { index: this.snapshotIndex, indexTerm: this.snapshotTerm, state: this.snapshot }),
    );
    return { key: `${this.group}/p`, value };
  }

  #load(key: string, value: Uint8Array): void {
    const part = key.slice(this.group.length + 1);
    try {
      if (part === "m")
        ({ term: this.term, vote: this.vote } = JSON.parse(Buffer.from(value).toString()) as {
          term: number;
          vote: string;
        });
      else if (part === "p") this.#loadSnapshot(value);
      else if (part.startsWith("e/")) this.#entries.push(decodeMessage(EntrySchema, value));
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

  /** Entries that the snapshot covers begin with the one that says the base's term; without any, it is the base. */
  #findBase(): void {
    const first = this.#entries[0];
    this.#firstOnDisk = first?.index ?? this.snapshotIndex + 1;
    const hasTail = first !== undefined && first.index <= this.snapshotIndex;
    if (hasTail) this.#entries.shift();
    this.baseIndex = hasTail ? first.index : this.snapshotIndex;
    this.baseTerm = hasTail ? first.term : this.snapshotTerm;
  }

  /** Says what is wrong with what was loaded, if anything is. */
  fault(): string | undefined {
    const broken = this.#entries.findIndex((entry, i) => entry.index !== this.baseIndex + 1 + i);
    const isShort = this.lastIndex < this.snapshotIndex;
    if (broken === -1 && !isShort) return undefined;
    const missing = broken === -1 ? this.lastIndex + 1 : this.baseIndex + 1 + broken;
    return `the data folder is damaged: ${this.group} misses entry ${missing}`;
  }
}
