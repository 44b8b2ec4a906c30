import type { InjectFault } from "./acts.js";
import { PartitionInjector } from "./cutActs.js";
import { DiskFaultInjector } from "./diskActs.js";
import { GeneralFaultInjector } from "./faultActs.js";
import { MachineFaultInjector } from "./machineActs.js";
import { ChangeFaultInjector } from "./orderActs.js";
import type { SimRandom } from "./simRandom.js";
import type { SimFleet } from "./simFleet.js";
import type { SimLoad } from "./simLoad.js";

/** The first kinds; seeds that were kept from then draw from them. */
const firstNames = [
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
  "changeConfiguration",
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

const names = [
  ...firstNames,
  "lostAnswers",
  "storm",
  "bigConfiguration",
  "ackKill",
  "ackKillTwo",
  "ackCrash",
  "sentKill",
  "takenKill",
  "takenKillAll",
  "ackWipe",
  "ackWipeAll",
  "sentWipe",
  "meet",
  "crash",
  "herd",
  "core",
  "coreCrash",
  "replaced",
  "replacedFirst",
  "leaving",
  "emptiedWipe",
  "clockStep",
  "seedsTurned",
  "rush",
  "shift",
  "coreCut",
  "coreCutOneWay",
  "coreCutLong",
  "coreCutSeeds",
  "coreCutBoth",
  "edgeCut",
  "resets",
  "coreResets",
  "fullDisk",
  "hungDisk",
  "refusedWrite",
  "coreCutRefused",
  "busyStops",
  "drainReturned",
] as const;

export type FaultName = (typeof names)[number];
/** How a run ends: right after one more change was acknowledged, or without one. */
export type Closing = "kill" | "wipe" | "all" | "ackKillAll" | "ackCrashAll" | "ackWipe" | "ackWipeAll";
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
  static readonly first: readonly FaultName[] = firstNames;

  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #names: readonly FaultName[];
  readonly #random: SimRandom;
  readonly #injectors: Record<FaultName, InjectFault>;
  /** Kinds still to be drawn before any comes again; empty where each draw is by itself. */
  #deck: FaultName[] = [];
  closing: Closing | undefined;
  readonly spans: FaultSpan[] = [];

  constructor(fleet: SimFleet, load: SimLoad, chosen: readonly FaultName[]) {
    this.#fleet = fleet;
    this.#load = load;
    this.#names = chosen;
    this.#random = fleet.world.random.fork();
    const { first, orders, machines, cuts, disks } = {
      first: new GeneralFaultInjector(fleet, load, this.#random),
      orders: new ChangeFaultInjector(fleet, load, this.#random),
      machines: new MachineFaultInjector(fleet, load, this.#random),
      cuts: new PartitionInjector(fleet, load, this.#random),
      disks: new DiskFaultInjector(fleet, load, this.#random),
    };
    this.#injectors = { ...first, ...orders, ...machines, ...cuts, ...disks };
  }

  /** One fault after the other, some while the last still lasts. */
  async rage(ms: number, isDealt = false): Promise<void> {
    const end = this.#fleet.world.now + ms;
    while (this.#fleet.world.now < end) {
      const what = isDealt ? this.#deal() : this.#random.pick(this.#names);
      if (!this.#cause(what) && isDealt) this.#deck.push(what);
      await this.#fleet.run(this.#random.between(200, 5000));
    }
  }

  /** Everything that failed is over, and every machine runs; what operators changed is changed back. */
  async heal(): Promise<void> {
    const { world } = this.#fleet;
    const last = Math.max(world.now, ...this.spans.map(({ to }) => to));
    await this.#fleet.run(last - world.now);
    this.#fleet.wires.heal();
    this.#load.crowdAt([]);
    this.#load.hurry(1);
    this.#fleet.port.answerLoss = 0;
    for (const name of this.#fleet.names) this.#fleet.diskOf(name).mend();
    for (const name of this.#fleet.names) this.#fleet.revive(name);
  }

  /** A last fault, just before operators ask for their configuration back. */
  async finish(): Promise<void> {
    const closings: Closing[] = ["kill", "wipe", "all", "ackKillAll", "ackCrashAll", "ackWipe", "ackWipeAll"];
    this.closing = this.#random.pick(closings);
    if (this.closing.startsWith("ack")) await this.#acknowledged();
    const counted = [...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")];
    const lost = this.#random.pick(this.#fleet.withRole("lathe").filter((name) => this.#fleet.isUsed(name)));
    switch (this.closing) {
      case "kill":
        return this.#fleet.kill(this.#random.pick(this.#fleet.names));
      case "wipe":
        return this.#fleet.wipe(lost);
      case "ackWipe":
        this.#fleet.wipe(lost);
        return this.#back([lost]);
      case "ackWipeAll":
        this.#fleet.wipe(lost);
        for (const name of counted) this.#fleet.kill(name);
        return this.#back(counted);
      case "ackCrashAll":
        for (const name of this.#fleet.names) this.#fleet.crash(name);
        return this.#back(this.#fleet.names);
      default:
        for (const name of this.#fleet.names) this.#fleet.kill(name);
        return this.#back(this.#fleet.names);
    }
  }

  #back(names: readonly string[]): void {
    this.#fleet.world.at(this.#fleet.world.now + 500, () => names.forEach((name) => this.#fleet.revive(name)));
  }

  /** Until one more change was acknowledged, and not a millisecond longer. */
  async #acknowledged(): Promise<void> {
    let isDone = false;
    const look = (): void => void (isDone = true);
    const { onAnswer } = this.#fleet.port;
    onAnswer.add(({ method, status }) => {
      if (method === "PUT" && status === 200) look();
    });
    void this.#load.restore();
    for (let ms = 0; ms < 5000 && !isDone; ms += 1) await this.#fleet.run(1);
  }

  #deal(): FaultName {
    if (this.#deck.length === 0) this.#deck = [...this.#names];
    const [drawn] = this.#deck.splice(Math.floor(this.#random.draw() * this.#deck.length), 1);
    return drawn!;
  }

  /** False where it could not come about now. */
  #cause(what: FaultName): boolean {
    const { world } = this.#fleet;
    const name = this.#random.pick(this.#fleet.names.filter((one) => this.#fleet.isUsed(one)));
    const from = world.now;
    const ms = this.#injectors[what](name, this.#random.between(300, 9000));
    if (ms >= 0) this.spans.push({ what, name, from, to: from + ms });
    return ms >= 0;
  }
}
