import { FaultActs } from "./faultActs.js";
import type { SimRandom } from "./simRandom.js";
import type { SimFleet } from "./simFleet.js";
import type { SimLoad } from "./simLoad.js";

const names = [
  "kill",
  "wipe",
  "pause",
  "isolate",
  "cut",
  "loss",
  "slowNode",
  "slowDisk",
  "cycle",
  "rolling",
  "crowd",
  "third",
  "move",
  "race",
  "raceFrozen",
  "replan",
  "remake",
  "zone",
  "all",
  "emptying",
  "allMoving",
  "added",
  "gone",
  "pair",
  "pulls",
  "mutate",
] as const;

export type FaultName = (typeof names)[number];
/** A failure, and when it began and was over. */
export interface FaultSpan {
  what: FaultName;
  name: string;
  from: number;
  to: number;
}

/** Causes the brief's failures by a seed, and ends them. */
export class Faults {
  static readonly all: readonly FaultName[] = names;

  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #names: readonly FaultName[];
  readonly #chance: SimRandom;
  readonly #acts: FaultActs;
  readonly spans: FaultSpan[] = [];

  constructor(fleet: SimFleet, load: SimLoad, chosen: readonly FaultName[]) {
    this.#fleet = fleet;
    this.#load = load;
    this.#names = chosen;
    this.#chance = fleet.world.chance.fork();
    this.#acts = new FaultActs(fleet, load, this.#chance);
  }

  /** One fault after the other, some while the last still lasts. */
  async rage(ms: number): Promise<void> {
    const end = this.#fleet.world.now + ms;
    while (this.#fleet.world.now < end) {
      this.#cause(this.#chance.pick(this.#names));
      await this.#fleet.run(this.#chance.between(200, 5000));
    }
  }

  /** Everything that failed is over, and every machine runs; what operators changed is changed back. */
  async heal(): Promise<void> {
    const { world } = this.#fleet;
    const last = Math.max(world.now, ...this.spans.map(({ to }) => to));
    await this.#fleet.run(last - world.now);
    this.#fleet.wires.heal();
    this.#load.crowdAt([]);
    for (const name of this.#fleet.names) this.#fleet.diskOf(name).slowness = 1;
    for (const name of this.#fleet.names) this.#fleet.revive(name);
  }

  /** A last fault, just before operators ask for their plan back: a machine, a disk of a lathe, or everything. */
  finish(): void {
    const drawn = this.#chance.draw();
    if (drawn < 0.35) this.#fleet.kill(this.#chance.pick(this.#fleet.names));
    else if (drawn < 0.7) this.#fleet.wipe(this.#chance.pick(this.#fleet.withRole("lathe")));
    else {
      for (const name of this.#fleet.names) this.#fleet.kill(name);
      this.#fleet.world.at(this.#fleet.world.now + 500, () =>
        this.#fleet.names.forEach((name) => this.#fleet.revive(name)),
      );
    }
  }

  #cause(what: FaultName): void {
    const { world } = this.#fleet;
    const name = this.#chance.pick(this.#fleet.names.filter((one) => this.#fleet.isUsed(one)));
    const from = world.now;
    const ms = this.#acts[what](name, this.#chance.between(300, 9000));
    if (ms >= 0) this.spans.push({ what, name, from, to: from + ms });
  }
}
