import { Checker, type Breach } from "../checker/checker.js";
import { checkOrders } from "../checker/orderRules.js";
import type { Machine } from "../fleet/deployments.js";
import { Lateness } from "../checker/lateness.js";
import type { Probe } from "../fleet/probe.js";
import { Faults, type FaultName } from "./faults.js";
import { LossBudget } from "./lossBudget.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

export interface ScenarioReport {
  seed: number;
  faults: string[];
  closing: string | undefined;
  breaches: Breach[];
  /** Milliseconds from the machines' return until everybody's message had reached its readers. */
  backMs: number;
  accepted: number;
  received: number;
  /** Replies above 2 s by cause, and the worst of each. */
  late: Array<{ cause: string; count: number; worst: number }>;
  events: number;
  trace: string;
}
export interface ScenarioOptions {
  faults?: readonly FaultName[];
  faultMs?: number;
  /** Each kind comes once before any comes again. */
  isDealt?: boolean;
  clients?: number;
  machines?: readonly Machine[];
  /** Machines that are not there at the beginning. */
  later?: readonly string[];
  prepare?: (fleet: SimFleet) => void;
  /** The next disk may be lost so long after the last loss was over, mended or not. */
  syncMs?: number;
}

/**
 * One seeded run: callers play, faults come and go, everything heals, service must be back, a while of fair
 * weather follows in which nothing may be late, and what callers saw is judged. Then a last fault, and the
 * configuration
 * is read back.
 */
export const Scenario = {
  backMs: 12_000,
  fairMs: 4000,

  /** In the users' shortest time from a successor's start until the next loss may come. */
  syncMs: 4000,
  /** With which a repair is over by then. */
  quickRepair: { replaceVoterMs: 1333, replaceReplicaMs: 3000, replaceByNewcomerMs: 800 },

  machines(controlCount = 3, storageCount = 3, edgeCount = 3): Machine[] {
    const zones = ["north", "south", "west"];
    const make = (role: Machine["role"], count: number): Machine[] =>
      Array.from({ length: count }, (_, i) => ({ name: `${role}-${i + 1}`, role, zone: zones[i % 3]! }));
    return [...make("lathe", controlCount), ...make("anvil", storageCount), ...make("vise", edgeCount)];
  },

  /**
   * Every third seed on a larger fleet, with machines to be added; every fourth with clocks that disagree; every
   * second with losses as users count them, by the time since the last.
   */
  shapeOf(seed: number): Omit<ScenarioOptions, "faults" | "faultMs" | "isDealt" | "clients"> {
    const isLarge = seed % 3 === 0;
    const isQuick = seed % 2 === 0;
    const prepare = (fleet: SimFleet): void => {
      if (seed % 4 !== 0) return;
      const random = fleet.world.random.fork();
      for (const name of fleet.names) fleet.setRate(name, random.between(0.97, 1.03));
    };
    const plain = isLarge ? Scenario.machines(5, 4, 5) : Scenario.machines();
    const machines = isQuick ? plain.map((one) => ({ ...one, settings: Scenario.quickRepair })) : plain;
    const later = isLarge ? { later: ["anvil-4", "vise-5"] } : {};
    return { machines, prepare, ...later, ...(isQuick ? { syncMs: Scenario.syncMs } : {}) };
  },

  async run(seed: number, options: ScenarioOptions = {}): Promise<ScenarioReport> {
    const fleet = new SimFleet(seed, options.machines ?? Scenario.machines());
    const load = new SimLoad(fleet);
    options.prepare?.(fleet);
    const faults = new Faults(fleet, load, options.faults ?? Faults.all);
    const { history } = load;
    const breaches: Breach[] = [];
    const breach = (rule: string, text: string): void => void breaches.push({ rule, at: fleet.world.now, text });
    const report = (backMs: number): ScenarioReport => {
      const causes = faults.spans.map(({ what, from, to }) => ({ what, from, to: to + Scenario.backMs }));
      const late = [...Lateness.byCause(Lateness.deliveries(history.seen), causes)];
      const unexcused = late.find(([cause]) => cause === "nothing")?.[1];
      if (unexcused !== undefined)
        breach(
          "late",
          `${unexcused.count} receipts above ${Lateness.maxMs} ms without a fault, up to ${unexcused.worst} ms`,
        );
      return {
        seed,
        faults: faults.spans.map(
          ({ what, name, from, to }) => `${Math.round(from)} ${what} ${name} ${Math.round(to - from)}`,
        ),
        closing: faults.closing,
        breaches,
        backMs,
        late: late.map(([cause, { count, worst }]) => ({ cause, count, worst })),
        events: fleet.world.events,
        trace: fleet.world.trace(),
        accepted: history.seen.filter((one) => one.kind === "accepted").length,
        received: history.seen.filter((one) => one.kind === "received").length,
      };
    };
    if (!(await load.begin(options.clients ?? 10, 6, options.later))) {
      breach("service-back", "the fleet never came to serve");
      return report(Infinity);
    }
    if (options.syncMs !== undefined) fleet.budget = new LossBudget(fleet, options.syncMs);
    const ephemeralClients = load.ephemeralClients();
    ephemeralClients.begin();
    load.play(25);
    await fleet.run(2000);
    await faults.rage(options.faultMs ?? 25_000, options.isDealt);
    await faults.heal();
    const healedAt = fleet.world.now;
    let probe: Probe | undefined;
    let isRestored = false;
    void load.restore().then(() => (isRestored = true));
    // A message is owed to whoever is confirmed when it is sent: the probe goes out once everybody is.
    const isBack = (): boolean => {
      if (isRestored && load.clients.every((client) => client.isSettled)) probe ??= load.probe();
      return probe?.isBack === true;
    };
    if (!(await fleet.until(isBack, Scenario.backMs)))
      breach(
        "service-back",
        `not everybody is served ${Scenario.backMs} ms after the return: ${probe?.missing ?? load.unsettled}`,
      );
    await fleet.run(healedAt + Scenario.backMs - fleet.world.now);
    await fleet.run(Scenario.fairMs);
    ephemeralClients.end();
    breaches.push(...ephemeralClients.judge());
    if (!(await load.finishPublishes())) breach("service-back", `callers are not settled: ${load.unsettled}`);
    breaches.push(...Checker.check(history.seen, fleet.world.now));
    const checkedCount = history.seen.length;
    await faults.finish();
    await load.readConfiguration();
    const configurations = history.seen.filter(
      (one, i) => one.kind.startsWith("plan") && (i >= checkedCount || one.kind !== "planRead"),
    );
    breaches.push(...Checker.check(configurations, fleet.world.now), ...checkOrders(history.seen));
    for (const violation of fleet.violations) breach("invariant", violation);
    return report((probe?.doneAt ?? Infinity) - healedAt);
  },
};
