/**
 * Entry point of the simulator. A whole fleet runs in one process under virtual time: `SimWorld` orders events,
 * `SimWires` carries frames, `SimDisk` loses unsynced writes, `SimPort` connects clients, `Faults` draws faults.
 * `cranetrack-lab sim --from SEED --seeds 1` reproduces a failed seed.
 */

import { Checker, type Breach } from "../checker/checker.js";
import { checkAcknowledgements } from "../checker/orderRules.js";
import type { Machine } from "../fleet/deployments.js";
import { Lateness } from "../checker/lateness.js";
import type { Probe } from "../fleet/probe.js";
import { Faults, type FaultName } from "./faults.js";
import { LossBudget } from "./lossBudget.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

/** Result of one seed. Times are virtual milliseconds; `trace` is the digest of all events. */
export interface ScenarioReport {
  seed: number;
  faults: string[];
  closing: string | undefined;
  breaches: Breach[];
  /** Milliseconds from the end of the faults until a message of every client had reached all its subscribers. */
  backMs: number;
  accepted: number;
  received: number;
  /** Deliveries that took more than 2 s, counted by the fault during which they came, and the slowest of each. */
  late: Array<{ cause: string; count: number; worst: number }>;
  events: number;
  trace: string;
}
/** How a run differs from the standard one. */
export interface ScenarioOptions {
  faults?: readonly FaultName[];
  faultMs?: number;
  /** Whether each kind of fault comes once before any is repeated. */
  isDealt?: boolean;
  clients?: number;
  machines?: readonly Machine[];
  /** Machines that are not started at the beginning. */
  lateMachines?: readonly string[];
  prepare?: (fleet: SimFleet) => void;
  /** Minimum time from the end of one loss to the next, repaired or not; without it, each loss is repaired first. */
  minLossIntervalMs?: number;
}

/**
 * One seeded run: clients publish while faults come and go; then all faults end, service must recover within a bound,
 * and a period without faults follows in which no delivery may be late. The clients' history is checked. Finally a
 * last fault is injected, and the configuration is read back.
 */
export const Scenario = {
  /** Time within which service must recover after the last fault. */
  backMs: 12_000,
  /** Length of the period without faults that follows. */
  faultFreeMs: 4000,

  /** Shortest supported time between a replacement's start and the next loss. */
  minLossIntervalMs: 4000,
  /** Settings with which a repair finishes within `minLossIntervalMs`. */
  quickRepairSettings: { replaceVoterMs: 1333, replaceReplicaMs: 3000, replaceByNewcomerMs: 800 },

  machines(controlCount = 3, storageCount = 3, edgeCount = 3): Machine[] {
    const zones = ["north", "south", "west"];
    const make = (role: Machine["role"], count: number): Machine[] =>
      Array.from({ length: count }, (_, i) => ({ name: `${role}-${i + 1}`, role, zone: zones[i % 3]! }));
    return [...make("lathe", controlCount), ...make("anvil", storageCount), ...make("vise", edgeCount)];
  },

  /**
   * Options by seed: every third seed has a larger fleet with machines to be added, every fourth has clocks that run at
   * different rates, and every second spaces losses by time instead of waiting for the repair.
   */
  optionsFor(seed: number): Omit<ScenarioOptions, "faults" | "faultMs" | "isDealt" | "clients"> {
    const isLarge = seed % 3 === 0;
    const hasTimedLosses = seed % 2 === 0;
    const prepare = (fleet: SimFleet): void => {
      if (seed % 4 !== 0) return;
      const random = fleet.world.random.fork();
      for (const name of fleet.names) fleet.setRate(name, random.between(0.97, 1.03));
    };
    const baseMachines = isLarge ? Scenario.machines(5, 4, 5) : Scenario.machines();
    const machines = hasTimedLosses
      ? baseMachines.map((one) => ({ ...one, settings: Scenario.quickRepairSettings }))
      : baseMachines;
    const late = isLarge ? { lateMachines: ["anvil-4", "vise-5"] } : {};
    return {
      machines,
      prepare,
      ...late,
      ...(hasTimedLosses ? { minLossIntervalMs: Scenario.minLossIntervalMs } : {}),
    };
  },

  run(seed: number, options: ScenarioOptions = {}): Promise<ScenarioReport> {
    return new ScenarioRun(seed, options).run();
  },
};

/** One run: its fleet, clients, faults and the breaches found. */
class ScenarioRun {
  readonly #seed: number;
  readonly #options: ScenarioOptions;
  readonly #fleet: SimFleet;
  readonly #load: SimLoad;
  readonly #faults: Faults;
  readonly #breaches: Breach[] = [];

  constructor(seed: number, options: ScenarioOptions) {
    this.#seed = seed;
    this.#options = options;
    this.#fleet = new SimFleet(seed, options.machines ?? Scenario.machines());
    this.#load = new SimLoad(this.#fleet);
    options.prepare?.(this.#fleet);
    this.#faults = new Faults(this.#fleet, this.#load, options.faults ?? Faults.all);
  }

  async run(): Promise<ScenarioReport> {
    const options = this.#options;
    const [fleet, load, faults] = [this.#fleet, this.#load, this.#faults];
    if (!(await load.start(options.clients ?? 10, 6, options.lateMachines))) {
      this.#breach("service-back", "the fleet did not start serving");
      return this.#report(Infinity);
    }
    if (options.minLossIntervalMs !== undefined) fleet.lossBudget = new LossBudget(fleet, options.minLossIntervalMs);
    const ephemeralClients = load.ephemeralClients();
    ephemeralClients.start();
    load.startPublishing(25);
    await fleet.run(2000);
    await faults.injectFor(options.faultMs ?? 25_000, options.isDealt);
    await faults.heal();
    const healedAt = fleet.world.now;
    const probe = await this.#waitUntilServed();
    await fleet.run(healedAt + Scenario.backMs - fleet.world.now);
    await fleet.run(Scenario.faultFreeMs);
    ephemeralClients.stop();
    this.#breaches.push(...ephemeralClients.check());
    if (!(await load.finishPublishes()))
      this.#breach("service-back", `clients are not settled: ${load.unsettledClients}`);
    await this.#checkHistory();
    return this.#report((probe?.recoveredAt ?? Infinity) - healedAt);
  }

  /** Waits until the probe messages reached all subscribers, or time is up; returns the probe if one was sent. */
  async #waitUntilServed(): Promise<Probe | undefined> {
    const load = this.#load;
    let probe: Probe | undefined;
    let isRestored = false;
    void load.restore().then(() => (isRestored = true));
    // Only subscribers confirmed before a message is sent are owed it, so the probe waits for all confirmations.
    const isBack = (): boolean => {
      if (isRestored && load.clients.every((client) => client.isFullySubscribed)) probe ??= load.probe();
      return probe?.isRecovered === true;
    };
    if (!(await this.#fleet.until(isBack, Scenario.backMs)))
      this.#breach(
        "service-back",
        `not all clients are served ${Scenario.backMs} ms after the return: ${probe?.missing ?? load.unsettledClients}`,
      );
    return probe;
  }

  /** Checks the clients' history; then injects a last fault and checks the configuration that operators read back. */
  async #checkHistory(): Promise<void> {
    const { history } = this.#load;
    this.#breaches.push(...Checker.check(history.events, this.#fleet.world.now));
    const checkedCount = history.events.length;
    await this.#faults.injectClosingFault();
    await this.#load.readConfiguration();
    const configurations = history.events.filter(
      (one, i) => one.kind.startsWith("plan") && (i >= checkedCount || one.kind !== "planRead"),
    );
    this.#breaches.push(
      ...Checker.check(configurations, this.#fleet.world.now),
      ...checkAcknowledgements(history.events),
    );
    for (const violation of this.#fleet.violations) this.#breach("invariant", violation);
  }

  #breach(rule: string, text: string): void {
    this.#breaches.push({ rule, at: this.#fleet.world.now, text });
  }

  #report(backMs: number): ScenarioReport {
    const { history } = this.#load;
    const { spans, closing } = this.#faults;
    const { world } = this.#fleet;
    const causes = spans.map(({ what, from, to }) => ({ what, from, to: to + Scenario.backMs }));
    const late = [...Lateness.byCause(Lateness.deliveries(history.events), causes)];
    const withoutFault = late.find(([cause]) => cause === "nothing")?.[1];
    if (withoutFault !== undefined)
      this.#breach(
        "late",
        `${withoutFault.count} receipts above ${Lateness.maxMs} ms without a fault, up to ${withoutFault.worst} ms`,
      );
    return {
      seed: this.#seed,
      faults: spans.map(({ what, name, from, to }) => `${Math.round(from)} ${what} ${name} ${Math.round(to - from)}`),
      closing,
      breaches: this.#breaches,
      backMs,
      late: late.map(([cause, { count, worst }]) => ({ cause, count, worst })),
      events: world.events,
      trace: world.trace(),
      accepted: history.events.filter((one) => one.kind === "accepted").length,
      received: history.events.filter((one) => one.kind === "received").length,
    };
  }
}
