import fc from "fast-check";
import type { SimFleet } from "./simFleet.js";

/** A fault of control nodes: its start, in ms from the start of a run, and its duration `ms`. */
export interface StoreFault {
  at: number;
  ms: number;
  what: "cut" | "cut one way" | "kill" | "freeze" | "slow" | "loss";
  /** Which control nodes, by number: 0 is the leader at that time. */
  targetNumbers: number[];
}

/** Start times in bursts: races, and losses during a change, need events that lie close together. */
const burst = fc
  .record({ burst: fc.integer({ min: 0, max: 5 }), offset: fc.integer({ min: 0, max: 30 }) })
  .map(({ burst, offset }) => 1000 + burst * 2000 + offset);

function injectFault(fleet: SimFleet, { what, targetNumbers, ms }: StoreFault): void {
  const { world, wires } = fleet;
  const all = StoreFaults.leaderFirst(fleet);
  const targets = targetNumbers.map((number) => all[number % all.length]!);
  const others = all.filter((name) => !targets.includes(name));
  const later = (task: () => void): void => void world.at(world.now + ms, task);
  switch (what) {
    case "cut":
    case "cut one way":
      for (const name of targets) fleet.isolate(name, others, what === "cut" ? "both" : "in");
      return later(() => wires.heal());
    case "kill":
      for (const name of targets) fleet.kill(name);
      return later(() => targets.forEach((name) => fleet.start(name)));
    case "freeze":
      return targets.forEach((name) => fleet.pause(name, ms));
    case "slow":
      for (const name of targets) wires.extraLatencyMs.set(fleet.addressOf(name), 400);
      return later(() => wires.heal());
    case "loss":
      wires.loss = 0.2;
      return later(() => wires.heal());
  }
}

/** Faults of the metadata store, for runs that fast-check generates and shrinks. */
export const StoreFaults = {
  /** A time after a burst, when the former leader may not know yet that another node leads. */
  afterBurst: fc.record({ at: burst, later: fc.integer({ min: 0, max: 1500 }) }).map(({ at, later }) => at + later),

  /** All bursts lie within this time from the start of a run. */
  maxBurstAtMs: 13_000,
  burst,
  arbitrary: fc.array(
    fc.record({
      at: burst,
      ms: fc.oneof(fc.integer({ min: 100, max: 1200 }), fc.integer({ min: 1200, max: 5000 })),
      what: fc.constantFrom("cut", "cut", "cut one way", "kill", "freeze", "slow", "loss"),
      targetNumbers: fc.oneof(
        fc.constant<number[]>([0]),
        fc.uniqueArray(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 2 }),
      ),
    }),
    { maxLength: 6 },
  ),

  /** The control nodes with the current leader first, since races and losses concern the leader most. */
  leaderFirst(fleet: SimFleet): string[] {
    const leader = fleet.leader;
    return fleet.withRole("lathe").toSorted((a, b) => Number(b === leader) - Number(a === leader));
  },

  /** Schedules all faults relative to now; each ends by itself. */
  schedule(fleet: SimFleet, faults: readonly StoreFault[]): void {
    const start = fleet.world.now;
    for (const fault of faults) fleet.world.at(start + fault.at, () => injectFault(fleet, fault));
  },
};
