import { Checker, type Breach } from "../../mark/checker.js";
import type { Machine } from "../../mark/deployments.js";
import { Faults, type FaultName } from "./faults.js";
import { SimFleet } from "./simFleet.js";
import { SimLoad } from "./simLoad.js";

export interface ScenarioReport {
  seed: number;
  faults: string[];
  breaches: Breach[];
  isBack: boolean;
  accepted: number;
  received: number;
  events: number;
  trace: string;
}
export interface ScenarioOptions {
  faults?: readonly FaultName[];
  faultMs?: number;
  callers?: number;
  prepare?: (fleet: SimFleet) => void;
}

/** One seeded run: callers play, faults come and go, everything heals, and what callers saw is judged. */
export const Scenario = {
  backMs: 12_000,

  machines(lathes = 3, anvils = 3, vises = 3): Machine[] {
    const zones = ["north", "south", "west"];
    const make = (role: Machine["role"], count: number): Machine[] =>
      Array.from({ length: count }, (_, i) => ({ name: `${role}-${i + 1}`, role, zone: zones[i % 3]! }));
    return [...make("lathe", lathes), ...make("anvil", anvils), ...make("vise", vises)];
  },

  async run(seed: number, options: ScenarioOptions = {}): Promise<ScenarioReport> {
    const fleet = new SimFleet(seed, Scenario.machines());
    const load = new SimLoad(fleet);
    options.prepare?.(fleet);
    const report = (breaches: Breach[], isBack: boolean): ScenarioReport => ({
      seed,
      faults: faults.done,
      breaches,
      isBack,
      events: fleet.world.events,
      trace: fleet.world.trace(),
      accepted: load.history.seen.filter((one) => one.kind === "accepted").length,
      received: load.history.seen.filter((one) => one.kind === "received").length,
    });
    const faults = new Faults(fleet, load, options.faults ?? Faults.all);
    if (!(await load.begin(options.callers ?? 10)))
      return report([{ rule: "service-back", at: fleet.world.now, text: "the fleet never came to serve" }], false);
    load.play(25);
    await fleet.run(2000);
    await faults.rage(options.faultMs ?? 25_000);
    await faults.heal();
    const isBack = await load.settle(Scenario.backMs);
    const breaches = Checker.judge(load.history.seen, fleet.world.now);
    const judged = load.history.seen.length;
    faults.finish();
    await load.readPlan();
    const plans = load.history.seen.filter(
      (one, i) => one.kind === "planAccepted" || (one.kind.startsWith("plan") && i >= judged),
    );
    breaches.push(...Checker.judge(plans, fleet.world.now));
    if (!isBack)
      breaches.push({
        rule: "service-back",
        at: fleet.world.now,
        text: `callers not served again within ${Scenario.backMs} ms: ${load.callers
          .filter((caller) => !caller.isSettled || caller.open > 0)
          .map((caller) => `${caller.session}(${caller.isLinked ? "linked" : "away"}, ${caller.open} open)`)
          .join(", ")}`,
      });
    return report(breaches, isBack);
  },
};
