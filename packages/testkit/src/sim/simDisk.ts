import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import type { SimProcessState } from "./simClock.js";
import { processorCosts } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

/**
 * A disk that loses unsynced writes when its machine loses power.
 * Invariant: writes become durable in the order of the requests; after a loss of power a prefix of the unsynced writes
 * is on the disk.
 */
export class SimDisk {
  readonly #world: SimWorld;
  #durable = new Map<string, Uint8Array>();
  #unsynced: DiskChange[][] = [];
  #lastSyncAt = 0;
  /** Factor by which a sync takes longer. */
  syncTimeFactor = 1;
  /** Virtual time until which no write completes; the data may still reach the disk. */
  #hungUntil = 0;
  /** The size in bytes of all values from which on writes wait; infinite by default. */
  limitBytes = Infinity;
  /** No room: writes wait, and none of them is on the disk after the process ends or power is lost. */
  #isFull = false;
  /** Called when the next write fails; it must end the process, since none continues after a failed write. */
  onRefuse: (() => void) | undefined;

  constructor(world: SimWorld) {
    this.#world = world;
  }

  /** The disk as one process incarnation sees it. */
  mount(process: SimProcessState): Disk {
    const live = new Map(this.#durable);
    return {
      read: (prefix) =>
        [...live]
          .filter(([key]) => key.startsWith(prefix))
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([key, value]) => ({ key, value })),
      fillShare: (extraBytes) =>
        this.limitBytes === Infinity ? 0 : (SimDisk.#bytesOf(live) + extraBytes) / this.limitBytes,
      write: (changes) => {
        const refuse = this.onRefuse;
        this.onRefuse = undefined;
        if (!process.isDead) refuse?.();
        if (process.isDead) return new Promise(() => undefined);
        process.processor?.charge(processorCosts.diskWrite);
        SimDisk.#apply(live, changes);
        this.#unsynced.push(changes);
        return this.#sync(process);
      },
    };
  }

  /** Completes no write for `ms`. */
  hang(ms: number): void {
    this.#hungUntil = Math.max(this.#hungUntil, this.#world.now + ms);
  }

  /** Sets whether the disk is full; while it is, writes wait. */
  setFull(isFull: boolean): void {
    this.#isFull = isFull;
  }

  get isFaulty(): boolean {
    return this.syncTimeFactor > 1 || this.#isFull || this.#hungUntil > this.#world.now || this.onRefuse !== undefined;
  }

  /** Ends all faults of the disk. */
  clearFaults(): void {
    this.syncTimeFactor = 1;
    this.#isFull = false;
    this.#hungUntil = 0;
    this.onRefuse = undefined;
  }

  /** The process ends and the machine keeps running: unsynced writes are kept, except on a full disk. */
  endProcess(): void {
    if (this.#isFull) return this.losePower();
    for (const changes of this.#unsynced) SimDisk.#apply(this.#durable, changes);
    this.#unsynced = [];
    this.#lastSyncAt = 0;
  }

  /** Power is lost: a random prefix of the unsynced writes has reached the disk. */
  losePower(): void {
    const maxReached = this.#isFull ? 0 : this.#unsynced.length;
    const reached = Math.floor(this.#world.random.draw() * (maxReached + 1));
    for (const changes of this.#unsynced.slice(0, reached)) SimDisk.#apply(this.#durable, changes);
    this.#unsynced = [];
    this.#lastSyncAt = 0;
  }

  /** Bytes of all values that would survive a loss of power. */
  get bytes(): number {
    return SimDisk.#bytesOf(this.#durable);
  }

  wipe(): void {
    this.#durable = new Map();
    this.#unsynced = [];
  }

  /** A copy of the data that would survive a loss of power now. */
  copy(): ReadonlyMap<string, Uint8Array> {
    return new Map(this.#durable);
  }

  /** Replaces all data by a copy; only while the machine is down. */
  restore(copy: ReadonlyMap<string, Uint8Array>): void {
    this.#durable = new Map(copy);
    this.#unsynced = [];
  }

  /** Changes one byte of a durable value whose key has the prefix; false if there is none. */
  corrupt(prefix: string): boolean {
    const entry = [...this.#durable].find(([key, value]) => key.startsWith(prefix) && value.length > 0);
    if (entry === undefined) return false;
    const damaged = Uint8Array.from(entry[1]);
    damaged[0] = damaged[0]! ^ 0xff;
    this.#durable.set(entry[0], damaged);
    return true;
  }

  static #bytesOf(values: ReadonlyMap<string, Uint8Array>): number {
    let bytes = 0;
    for (const value of values.values()) bytes += value.length;
    return bytes;
  }

  /** Whether the oldest unsynced writes, this many, are within the limit. */
  #hasRoomFor(count: number): boolean {
    if (this.limitBytes === Infinity) return true;
    const after = new Map(this.#durable);
    for (const changes of this.#unsynced.slice(0, count)) SimDisk.#apply(after, changes);
    return SimDisk.#bytesOf(after) <= this.limitBytes;
  }

  static #apply(to: Map<string, Uint8Array>, changes: DiskChange[]): void {
    for (const change of changes) {
      if ("isRemoved" in change) to.delete(change.key);
      else to.set(change.key, change.value);
    }
  }

  #sync(process: SimProcessState): Promise<void> {
    const count = this.#unsynced.length;
    const last = this.#unsynced[count - 1]!;
    this.#lastSyncAt = Math.max(
      this.#lastSyncAt,
      this.#world.now + this.#world.random.between(0.3, 3) * this.syncTimeFactor,
    );
    return new Promise((resolve) => {
      const finish = (): void => {
        if (process.isDead) return;
        if (this.#isFull) return void this.#world.at(this.#world.now + 100, finish);
        if (this.#hungUntil > this.#world.now) return void this.#world.at(this.#hungUntil, finish);
        const place = this.#unsynced.indexOf(last);
        if (!this.#hasRoomFor(place + 1)) return void this.#world.at(this.#world.now + 100, finish);
        for (const changes of this.#unsynced.splice(0, place + 1)) SimDisk.#apply(this.#durable, changes);
        this.#resolveWhenRunning(process, resolve);
      };
      this.#world.at(this.#lastSyncAt, finish);
    });
  }

  #resolveWhenRunning(process: SimProcessState, resolve: () => void): void {
    if (process.isDead) return;
    if (process.pausedUntil <= this.#world.now) return resolve();
    this.#world.at(process.pausedUntil, () => this.#resolveWhenRunning(process, resolve));
  }
}
