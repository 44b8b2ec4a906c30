import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import VError from "verror";
import { EntrySchema, SnapshotSchema, type Entry } from "../gen/cranetrack_pb.js";
import type { Disk, DiskChange } from "../storage/disk.js";

/**
 * One replica's copy of a replicated log on its disk: a snapshot up to `baseIndex`, then entries.
 * Invariants: entries are contiguous from baseIndex + 1; `syncedIndex` never passes what would
 * survive a loss of power; `term` and `vote` are synced before the promise that sets them resolves.
 */
export class ReplicaLog {
  readonly group: string;
  readonly #disk: Disk;
  #entries: Entry[] = [];
  baseIndex = 0;
  baseTerm = 0;
  snapshot: Uint8Array = new Uint8Array();
  term = 0;
  vote = "";
  syncedIndex = 0;
  /** The write of the newest promise. */
  #promised: Promise<void> = Promise.resolve();

  constructor(disk: Disk, group: string) {
    this.group = group;
    this.#disk = disk;
    for (const { key, value } of disk.read(`${group}/`)) this.#load(key, value);
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
  after(index: number, mostBytes = 1024 * 1024): Entry[] {
    const found: Entry[] = [];
    let size = 0;
    for (let i = index + 1; i <= this.lastIndex && size < mostBytes; i += 1) {
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
    const changes = this.#cutAfter(this.baseIndex);
    this.baseIndex = index;
    this.baseTerm = term;
    this.snapshot = snapshot;
    this.syncedIndex = 0;
    await this.#disk.write([...changes, this.#snapshotChange()]);
    this.#synced(index, term);
  }

  /** Drops the entries up to an index that the snapshot now stands for. */
  compact(index: number, snapshot: Uint8Array): Promise<void> {
    const term = this.termAt(index);
    if (term === undefined || index <= this.baseIndex) return Promise.resolve();
    const changes: DiskChange[] = [];
    for (let i = this.baseIndex + 1; i <= index; i += 1) changes.push({ key: this.#key(i), isRemoved: true });
    this.#entries = this.#entries.slice(index - this.baseIndex);
    this.baseIndex = index;
    this.baseTerm = term;
    this.snapshot = snapshot;
    return this.#disk.write([...changes, this.#snapshotChange()]);
  }

  /** Takes the whole log off the disk. */
  wipe(): Promise<void> {
    const changes: DiskChange[] = this.#disk
      .read(`${this.group}/`)
      .map(({ key }) => ({ key, isRemoved: true as const }));
    this.#entries = [];
    this.baseIndex = this.baseTerm = this.syncedIndex = 0;
    this.snapshot = new Uint8Array();
    return this.#disk.write([...changes, this.#meta()]);
  }

  #write(entries: readonly Entry[], changes: DiskChange[]): Promise<void> {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1)
        throw new VError("broken invariant: %s got entry %d behind %d", this.group, entry.index, this.lastIndex);
      this.#entries.push(entry);
      changes.push({ key: this.#key(entry.index), value: toBinary(EntrySchema, entry) });
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
      create(SnapshotSchema, { index: this.baseIndex, indexTerm: this.baseTerm, state: this.snapshot }),
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
      else if (part.startsWith("e/")) this.#entries.push(fromBinary(EntrySchema, value));
    } catch (cause) {
      throw new VError({ name: "DataFolderFault", cause: cause as Error }, "the data folder is damaged at %s", key);
    }
  }

  #loadSnapshot(value: Uint8Array): void {
    const snapshot = fromBinary(SnapshotSchema, value);
    this.baseIndex = snapshot.index;
    this.baseTerm = snapshot.indexTerm;
    this.snapshot = snapshot.state;
  }

  /** Says what is wrong with what was loaded, if anything is. */
  fault(): string | undefined {
    const broken = this.#entries.findIndex((entry, i) => entry.index !== this.baseIndex + 1 + i);
    return broken === -1
      ? undefined
      : `the data folder is damaged: ${this.group} misses entry ${this.baseIndex + 1 + broken}`;
  }
}
