import type { InjectFault } from "./faultInjector.js";
import { PartitionInjector } from "./partitionInjector.js";
import { DiskFaultInjector } from "./diskFaultInjector.js";
import { GeneralFaultInjector } from "./generalFaultInjector.js";
import { MachineFaultInjector } from "./machineFaultInjector.js";
import { ChangeFaultInjector } from "./changeFaultInjector.js";
import type { SimRandom } from "./simRandom.js";
import type { SimFleet } from "./simFleet.js";
import type { SimLoad } from "./simLoad.js";

/** The oldest kinds, in their old order: seeds recorded with only these still draw from this list. */
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
  "lostAcknowledgements",
  "lostAcknowledgementsKill",
] as const;

/** A fault's name in `--faults` and in reports. */
export type FaultName = (typeof names)[number];
/** The last fault of a run; the kinds that begin with `ack` come right after one more acknowledged change. */
export type Closing = "kill" | "wipe" | "all" | "ackKillAll" | "ackCrashAll" | "ackWipe" | "ackWipeAll";
/** An injected fault, the machine drawn for it, and its start and end in virtual ms. */
export interface FaultSpan {
  what: FaultName;
  name: string;
  from: number;
  to: number;
}

/** Injects faults drawn from a seed, and ends them. */
export class Faults {
  static readonly all: readonly FaultName[] = names;
  static readonly first: readonly FaultName[] = firstNames;

  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #names: readonly FaultName[];
  readonly #random: SimRandom;
  readonly #injectors: Record<FaultName, InjectFault>;
  /** When every kind is to come once before any is repeated: the kinds that are still to come in this round. */
  #remainingKinds: FaultName[] = [];
  closing: Closing | undefined;
  /** All faults injected so far, in order of their start. */
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

  /** Injects one fault after the other for `ms` of virtual time; they may overlap. */
  async injectFor(ms: number, isDealt = false): Promise<void> {
    const end = this.#fleet.world.now + ms;
    while (this.#fleet.world.now < end) {
      const what = isDealt ? this.#pickRemainingKind() : this.#random.pick(this.#names);
      if (!this.#inject(what) && isDealt) this.#remainingKinds.push(what);
      await this.#fleet.run(this.#random.between(200, 5000));
    }
  }

  /** Waits until the last fault is over, clears what is left of the faults, and starts all machines again. */
  async heal(): Promise<void> {
    const { world } = this.#fleet;
    const last = Math.max(world.now, ...this.spans.map(({ to }) => to));
    await this.#fleet.run(last - world.now);
    this.#fleet.wires.heal();
    this.#load.connectAllTo([]);
    this.#load.setPublishFactor(1);
    this.#fleet.port.answerLoss = 0;
    this.#fleet.port.acknowledgementLoss = 0;
    for (const name of this.#fleet.names) this.#fleet.diskOf(name).clearFaults();
    for (const name of this.#fleet.names) this.#fleet.revive(name);
  }

  /** Injects a last fault, just before the configuration is read back. */
  async injectClosingFault(): Promise<void> {
    const closings: Closing[] = ["kill", "wipe", "all", "ackKillAll", "ackCrashAll", "ackWipe", "ackWipeAll"];
    this.closing = this.#random.pick(closings);
    if (this.closing.startsWith("ack")) await this.#runUntilAcknowledged();
    const durableMachines = [...this.#fleet.withRole("lathe"), ...this.#fleet.withRole("anvil")];
    const lost = this.#random.pick(this.#fleet.withRole("lathe").filter((name) => this.#fleet.isUsed(name)));
    switch (this.closing) {
      case "kill":
        return this.#fleet.kill(this.#random.pick(this.#fleet.names));
      case "wipe":
        return this.#fleet.wipe(lost);
      case "ackWipe":
        this.#fleet.wipe(lost);
        return this.#scheduleRevival([lost]);
      case "ackWipeAll":
        this.#fleet.wipe(lost);
        for (const name of durableMachines) this.#fleet.kill(name);
        return this.#scheduleRevival(durableMachines);
      case "ackCrashAll":
        for (const name of this.#fleet.names) this.#fleet.crash(name);
        return this.#scheduleRevival(this.#fleet.names);
      default:
        for (const name of this.#fleet.names) this.#fleet.kill(name);
        return this.#scheduleRevival(this.#fleet.names);
    }
  }

  #scheduleRevival(names: readonly string[]): void {
    this.#fleet.world.at(this.#fleet.world.now + 500, () => names.forEach((name) => this.#fleet.revive(name)));
  }

  /** Runs until one more change was acknowledged, to the millisecond; gives up after 5 s. */
  async #runUntilAcknowledged(): Promise<void> {
    let isDone = false;
    const finish = (): void => void (isDone = true);
    const { onAnswer } = this.#fleet.port;
    onAnswer.add(({ method, status }) => {
      if (method === "PUT" && status === 200) finish();
    });
    void this.#load.restore();
    for (let ms = 0; ms < 5000 && !isDone; ms += 1) await this.#fleet.run(1);
  }

  #pickRemainingKind(): FaultName {
    if (this.#remainingKinds.length === 0) this.#remainingKinds = [...this.#names];
    const [drawn] = this.#remainingKinds.splice(Math.floor(this.#random.draw() * this.#remainingKinds.length), 1);
    return drawn!;
  }

  /** Injects one fault; false if it is not applicable now. */
  #inject(what: FaultName): boolean {
    const { world } = this.#fleet;
    const name = this.#random.pick(this.#fleet.names.filter((one) => this.#fleet.isUsed(one)));
    const from = world.now;
    const ms = this.#injectors[what](name, this.#random.between(300, 9000));
    if (ms >= 0) this.spans.push({ what, name, from, to: from + ms });
    return ms >= 0;
  }
}
