import type { Disk, DiskChange } from "@cranetrack/core/storage/disk.js";
import type { SimBody } from "./simClock.js";
import { processorCosts } from "./simProcessor.js";
import type { SimWorld } from "./simWorld.js";

/**
 * A disk that forgets what was not synced when its machine goes down.
 * Invariant: writes become durable in the order asked for; after a fall some prefix of the unsynced ones is there.
 */
export class SimDisk {
  readonly #world: SimWorld;
  #durable = new Map<string, Uint8Array>();
  #waiting: DiskChange[][] = [];
  #readyAt = 0;
  /** Multiplies how long a sync takes. */
  slowness = 1;
  /** Until then nothing is answered; what was written may be there all the same. */
  #hungUntil = 0;
  /** No room: what is written waits, and none of it is there after a fall. */
  #isFull = false;
  /** Called instead of the next write, which is refused: no process goes on after that. */
  onRefuse: (() => void) | undefined;

  constructor(world: SimWorld) {
    this.#world = world;
  }

  /** The disk as one process's life sees it. */
  mount(body: SimBody): Disk {
    const live = new Map(this.#durable);
    return {
      read: (prefix) =>
        [...live]
          .filter(([key]) => key.startsWith(prefix))
          .sort(([a], [b]) => (a < b ? -1 : 1))
          .map(([key, value]) => ({ key, value })),
      write: (changes) => {
        const refuse = this.onRefuse;
        this.onRefuse = undefined;
        if (!body.isDead) refuse?.();
        if (body.isDead) return new Promise(() => undefined);
        body.processor?.charge(processorCosts.diskWrite);
        SimDisk.#apply(live, changes);
        this.#waiting.push(changes);
        return this.#sync(body);
      },
    };
  }

  /** Answers nothing for a while. */
  hang(ms: number): void {
    this.#hungUntil = Math.max(this.#hungUntil, this.#world.now + ms);
  }

  /** Takes no more until there is room again. */
  fill(isFull: boolean): void {
    this.#isFull = isFull;
  }

  get isTroubled(): boolean {
    return this.slowness > 1 || this.#isFull || this.#hungUntil > this.#world.now || this.onRefuse !== undefined;
  }

  /** Takes and answers everything again. */
  mend(): void {
    this.slowness = 1;
    this.#isFull = false;
    this.#hungUntil = 0;
    this.onRefuse = undefined;
  }

  /** The process ends and the machine goes on: all that was written is there. */
  keep(): void {
    if (this.#isFull) return this.fall();
    for (const changes of this.#waiting) SimDisk.#apply(this.#durable, changes);
    this.#waiting = [];
    this.#readyAt = 0;
  }

  /** Power is lost: any prefix of what was under way may have reached the disk. */
  fall(): void {
    const most = this.#isFull ? 0 : this.#waiting.length;
    const reached = Math.floor(this.#world.random.draw() * (most + 1));
    for (const changes of this.#waiting.slice(0, reached)) SimDisk.#apply(this.#durable, changes);
    this.#waiting = [];
    this.#readyAt = 0;
  }

  /** What is kept and survives a loss of power. */
  get bytes(): number {
    return [...this.#durable.values()].reduce((sum, value) => sum + value.length, 0);
  }

  wipe(): void {
    this.#durable = new Map();
    this.#waiting = [];
  }

  /** What would survive a loss of power just now. */
  copy(): ReadonlyMap<string, Uint8Array> {
    return new Map(this.#durable);
  }

  /** Puts a copy in place of all that it has; for a machine that is down. */
  restore(copy: ReadonlyMap<string, Uint8Array>): void {
    this.#durable = new Map(copy);
    this.#waiting = [];
  }

  /** Changes one byte of one kept value. */
  corrupt(prefix: string): boolean {
    const entry = [...this.#durable].find(([key, value]) => key.startsWith(prefix) && value.length > 0);
    if (entry === undefined) return false;
    const damaged = Uint8Array.from(entry[1]);
    damaged[0] = damaged[0]! ^ 0xff;
    this.#durable.set(entry[0], damaged);
    return true;
  }

  static #apply(to: Map<string, Uint8Array>, changes: DiskChange[]): void {
    for (const change of changes) {
      if ("isRemoved" in change) to.delete(change.key);
      else to.set(change.key, change.value);
    }
  }

  #sync(body: SimBody): Promise<void> {
    const count = this.#waiting.length;
    const last = this.#waiting[count - 1]!;
    this.#readyAt = Math.max(this.#readyAt, this.#world.now + this.#world.random.between(0.3, 3) * this.slowness);
    return new Promise((resolve) => {
      const finish = (): void => {
        if (body.isDead) return;
        if (this.#isFull) return void this.#world.at(this.#world.now + 100, finish);
        if (this.#hungUntil > this.#world.now) return void this.#world.at(this.#hungUntil, finish);
        const place = this.#waiting.indexOf(last);
        for (const changes of this.#waiting.splice(0, place + 1)) SimDisk.#apply(this.#durable, changes);
        this.#wake(body, resolve);
      };
      this.#world.at(this.#readyAt, finish);
    });
  }

  #wake(body: SimBody, resolve: () => void): void {
    if (body.isDead) return;
    if (body.pausedUntil <= this.#world.now) return resolve();
    this.#world.at(body.pausedUntil, () => this.#wake(body, resolve));
  }
}
