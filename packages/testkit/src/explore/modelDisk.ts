import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";

type Kept = Map<string, Uint8Array>;

interface Write {
  changes: DiskChange[];
  resolve: () => void;
}

/**
 * A machine's disk, whose writes reach it only when told to.
 * Invariant (that of the disk seam): writes become durable in the order they were asked for, each whole or not at
 * all; after a loss of power some prefix of those under way is there. That a torn record counts as not written is
 * the journal's part, and tested with it.
 */
export class ModelDisk {
  #durable: Kept = new Map();
  #pending: Write[] = [];
  /** Rises with each change of what is durable. */
  version = 0;

  get pending(): number {
    return this.#pending.length;
  }

  /** The disk as one process's life sees it. */
  mount(isUp: () => boolean): Disk {
    const live: Kept = new Map(this.#durable);
    return {
      read: (prefix) => ModelDisk.#read(live, prefix),
      write: (changes) => {
        if (!isUp()) return new Promise(() => undefined);
        ModelDisk.#apply(live, changes);
        return new Promise((resolve) => this.#pending.push({ changes, resolve }));
      },
    };
  }

  /** What would be there after a loss of power just now that keeps nothing unsynced. */
  get durable(): Disk {
    return { read: (prefix) => ModelDisk.#read(this.#durable, prefix), write: () => Promise.resolve() };
  }

  /** The oldest writes under way reach the disk, and those who asked for them hear so. */
  sync(count = Infinity): void {
    for (const write of this.#keep(count)) write.resolve();
  }

  /** Power is lost: so many of the oldest writes under way reached the disk. */
  fall(kept: number): void {
    this.#keep(kept);
    this.#pending = [];
  }

  wipe(): void {
    this.#durable = new Map();
    this.#pending = [];
    this.version += 1;
  }

  /** Everything that is durable, in a fixed order. */
  text(): string {
    return ModelDisk.#read(this.#durable, "")
      .map(({ key, value }) => `${key}=${Buffer.from(value).toString("latin1")}`)
      .join("\n");
  }

  #keep(count: number): Write[] {
    const done = this.#pending.splice(0, Math.min(count, this.#pending.length));
    for (const { changes } of done) ModelDisk.#apply(this.#durable, changes);
    if (done.length > 0) this.version += 1;
    return done;
  }

  static #read(kept: Kept, prefix: string): Array<{ key: string; value: Uint8Array }> {
    return [...kept]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, value]) => ({ key, value }));
  }

  static #apply(to: Kept, changes: DiskChange[]): void {
    for (const change of changes) {
      if ("isRemoved" in change) to.delete(change.key);
      else to.set(change.key, change.value);
    }
  }
}
