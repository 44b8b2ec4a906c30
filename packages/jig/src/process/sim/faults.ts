import type { SimChance } from "./simChance.js";
import type { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

export type FaultName =
  | "kill"
  | "wipe"
  | "pause"
  | "isolate"
  | "cut"
  | "loss"
  | "slowNode"
  | "slowDisk"
  | "cycle"
  | "rolling"
  | "crowd"
  | "move"
  | "race"
  | "replan"
  | "zone"
  | "all"
  | "mutate";

/** Causes the brief's failures by a seed, and ends them. */
export class Faults {
  static readonly all: readonly FaultName[] = [
    "kill",
    "pause",
    "isolate",
    "cut",
    "loss",
    "slowNode",
    "slowDisk",
    "cycle",
    "rolling",
    "crowd",
    "move",
    "race",
    "replan",
    "zone",
    "all",
    "mutate",
  ];

  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #names: readonly FaultName[];
  readonly #chance: SimChance;
  readonly done: string[] = [];
  #wipedAt = -Infinity;

  constructor(fleet: SimFleet, load: SimLoad, names: readonly FaultName[]) {
    this.#fleet = fleet;
    this.#load = load;
    this.#names = names;
    this.#chance = fleet.world.chance.fork();
  }

  /** One fault after the other, some while the last still lasts. */
  async rage(ms: number): Promise<void> {
    const end = this.#fleet.world.now + ms;
    while (this.#fleet.world.now < end) {
      this.#cause(this.#chance.pick(this.#names));
      await this.#fleet.run(this.#chance.between(200, 5000));
    }
  }

  async heal(): Promise<void> {
    this.#fleet.wires.heal();
    for (const name of this.#fleet.names) this.#fleet.diskOf(name).slowness = 1;
    await this.#fleet.until(
      () => this.#fleet.names.every((name) => (this.#fleet.find(name)?.body.pausedUntil ?? 0) <= this.#fleet.world.now),
      15_000,
    );
    for (const name of this.#fleet.names) this.#fleet.start(name);
  }

  /** A last fault, just before operators ask for their plan back. */
  finish(): void {
    if (this.#chance.draw() < 0.5) this.#fleet.kill(this.#chance.pick(this.#fleet.names));
    else {
      for (const name of this.#fleet.names) this.#fleet.kill(name);
      this.#fleet.world.at(this.#fleet.world.now + 500, () => this.#fleet.startAll());
    }
  }

  #cause(fault: FaultName): void {
    const { world } = this.#fleet;
    const name = this.#chance.pick(this.#fleet.names);
    const ms = this.#chance.between(300, 9000);
    this.done.push(`${Math.round(world.now)} ${fault} ${name} ${Math.round(ms)}`);
    const later = (after: number, act: () => void): void => void world.at(world.now + after, act);
    switch (fault) {
      case "kill":
        this.#fleet.kill(name);
        return later(ms * 0.6, () => this.#fleet.start(name));
      case "wipe":
        return this.#wipe();
      case "pause":
        return this.#fleet.pause(name, ms);
      case "isolate":
        this.#fleet.isolate(name, this.#fleet.names, this.#chance.pick(["in", "out", "both"]));
        return later(ms, () => this.#fleet.wires.heal());
      case "cut":
        for (let i = 0; i < 4; i += 1)
          this.#fleet.isolate(
            this.#chance.pick(this.#fleet.names),
            [this.#chance.pick(this.#fleet.names)],
            this.#chance.pick(["in", "out", "both"]),
          );
        return later(ms, () => this.#fleet.wires.heal());
      case "loss":
        this.#fleet.wires.loss = this.#chance.between(0.01, 0.15);
        return later(ms, () => void (this.#fleet.wires.loss = 0));
      case "slowNode":
        this.#fleet.wires.slow.set(this.#fleet.addressOf(name), this.#chance.between(50, 400));
        return later(ms, () => void this.#fleet.wires.slow.clear());
      case "slowDisk":
        this.#fleet.diskOf(name).slowness = this.#chance.between(10, 150);
        return later(ms, () => void (this.#fleet.diskOf(name).slowness = 1));
      case "cycle":
        this.#fleet.cycle(name);
        return later(6500, () => this.#fleet.start(name));
      case "rolling":
        return this.#rolling();
      case "crowd":
        return this.#load.dropAll();
      case "move":
        for (let i = 0; i < 4; i += 1) this.#load.moveOne();
        return;
      case "race":
        return this.#race();
      case "replan":
        return this.#replan();
      case "zone":
        return this.#zone(ms * 0.7);
      case "all":
        for (const one of this.#fleet.names) this.#fleet.kill(one);
        return later(1000, () => this.#fleet.startAll());
      case "mutate":
        return this.#mutate();
    }
  }

  /** One disk is lost for good, and only once the last loss is long mended. */
  #wipe(): void {
    if (this.#fleet.world.now - this.#wipedAt < 20_000) return;
    this.#wipedAt = this.#fleet.world.now;
    const name = this.#chance.pick([...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")]);
    this.done.push(`${Math.round(this.#fleet.world.now)} wiped ${name}`);
    this.#fleet.wipe(name);
    this.#fleet.world.at(this.#fleet.world.now + this.#chance.between(500, 8000), () => this.#fleet.start(name));
  }

  #rolling(): void {
    const names = this.#fleet.withRole(this.#chance.pick(["lathe", "anvil", "vise"]));
    names.forEach((name, i) => {
      this.#fleet.world.at(this.#fleet.world.now + i * 2500, () => this.#fleet.cycle(name));
      this.#fleet.world.at(this.#fleet.world.now + i * 2500 + 2400, () => this.#fleet.start(name));
    });
  }

  #zone(ms: number): void {
    const zone = this.#fleet.zoneOf(this.#chance.pick(this.#fleet.names));
    const names = this.#fleet.names.filter((name) => this.#fleet.zoneOf(name) === zone);
    for (const name of names) this.#fleet.kill(name);
    this.#fleet.world.at(this.#fleet.world.now + ms, () => names.forEach((name) => this.#fleet.start(name)));
  }

  /** Two operators send different plans under one mark, and one sends what is stale or broken. */
  #race(): void {
    const mark = this.#load.nextMark;
    void this.#load.putPlan({ ...SimLoad.plan(mark), mark });
    void this.#load.putPlan({ ...SimLoad.plan(mark, ["notes", "notices", "extra"]), mark });
    void this.#load.putPlan({ ...SimLoad.plan(Math.max(1, mark - 1)), mark: Math.max(1, mark - 1) });
    void this.#load.putPlan({ mark: mark + 1000, spaces: "broken" });
  }

  #replan(): void {
    const mark = this.#load.nextMark;
    void this.#load.putPlan({
      ...SimLoad.plan(mark, this.#chance.draw() < 0.5 ? ["notes", "notices"] : ["notices", "notes", "extra"]),
      mark,
    });
  }

  /** One of the next frames is dropped, doubled, delayed or altered. */
  #mutate(): void {
    let left = 10 + Math.floor(this.#chance.draw() * 400);
    const way = this.#chance.pick(["drop", "double", "delay", "swap", "truncate", "alter"]);
    this.#fleet.wires.mutate = (_from, _to, bytes) => {
      left -= 1;
      if (left !== 0) return undefined;
      this.#fleet.wires.mutate = undefined;
      if (way === "drop") return [];
      if (way === "double")
        return [
          { bytes, delay: 0 },
          { bytes, delay: this.#chance.between(1, 3000) },
        ];
      if (way === "delay") return [{ bytes, delay: this.#chance.between(100, 5000) }];
      if (way === "swap") return [{ bytes, delay: this.#chance.between(2, 20) }];
      if (way === "truncate")
        return [{ bytes: bytes.subarray(0, Math.floor(this.#chance.draw() * bytes.length)), delay: 0 }];
      const altered = Uint8Array.from(bytes);
      altered[Math.floor(this.#chance.draw() * altered.length)]! ^= 1 << Math.floor(this.#chance.draw() * 8);
      return [{ bytes: altered, delay: 0 }];
    };
  }
}
