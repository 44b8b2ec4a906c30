import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";

/** Stored values by key. */
type Records = Map<string, Uint8Array>;

/** A write that is not durable yet; `resolve` settles the caller's promise. */
interface Write {
  changes: DiskChange[];
  resolve: () => void;
}

/**
 * A machine's disk, whose writes become durable only on request.
 * Invariant (that of the `Disk` interface): writes become durable in the order they were requested, each whole or not
 * at all; after a power loss a prefix of the pending writes is durable. That a torn record counts as not written is
 * ensured by the journal and tested there.
 */
export class ModelDisk {
  #durable: Records = new Map();
  #pending: Write[] = [];
  /** Rises with each change of the durable contents. */
  version = 0;

  /** Number of writes that are not durable yet. */
  get pendingCount(): number {
    return this.#pending.length;
  }

  /** The disk as one process sees it: its own writes are visible at once. Writes after `isUp` turned false are lost. */
  mount(isUp: () => boolean): Disk {
    const live: Records = new Map(this.#durable);
    return {
      read: (prefix) => ModelDisk.#read(live, prefix),
      write: (changes) => {
        if (!isUp()) return new Promise(() => undefined);
        ModelDisk.#apply(live, changes);
        return new Promise((resolve) => this.#pending.push({ changes, resolve }));
      },
    };
  }

  /** The contents that a power loss right now would leave if no pending write reached the disk. */
  get durable(): Disk {
    return { read: (prefix) => ModelDisk.#read(this.#durable, prefix), write: () => Promise.resolve() };
  }

  /** Makes the oldest `count` pending writes durable and resolves their promises. */
  sync(count = Infinity): void {
    for (const write of this.#flush(count)) write.resolve();
  }

  /** Loses power: the oldest `kept` pending writes become durable, the others are lost, and no promise resolves. */
  losePower(kept: number): void {
    this.#flush(kept);
    this.#pending = [];
  }

  /** Replaces the disk by a blank one. */
  wipe(): void {
    this.#durable = new Map();
    this.#pending = [];
    this.version += 1;
  }

  /** The durable contents as text, in a fixed order. */
  text(): string {
    return ModelDisk.#read(this.#durable, "")
      .map(({ key, value }) => `${key}=${Buffer.from(value).toString("latin1")}`)
      .join("\n");
  }

  #flush(count: number): Write[] {
    const writes = this.#pending.splice(0, Math.min(count, this.#pending.length));
    for (const { changes } of writes) ModelDisk.#apply(this.#durable, changes);
    if (writes.length > 0) this.version += 1;
    return writes;
  }

  static #read(records: Records, prefix: string): Array<{ key: string; value: Uint8Array }> {
    return [...records]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, value]) => ({ key, value }));
  }

  static #apply(to: Records, changes: DiskChange[]): void {
    for (const change of changes) {
      if ("isRemoved" in change) to.delete(change.key);
      else to.set(change.key, change.value);
    }
  }
}
