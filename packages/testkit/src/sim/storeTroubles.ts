import fc from "fast-check";
import type { SimFleet } from "./simFleet.js";

/** What happens to control nodes, from the start of a play. */
export interface Trouble {
  at: number;
  ms: number;
  what: "cut" | "cut one way" | "kill" | "freeze" | "slow" | "loss";
  /** Which control nodes, by number: 0 is the leader of that moment. */
  who: number[];
}

/** In bursts: races and losses in mid-order take moments that lie close together. */
const burst = fc
  .record({ burst: fc.integer({ min: 0, max: 5 }), offset: fc.integer({ min: 0, max: 30 }) })
  .map(({ burst, offset }) => 1000 + burst * 2000 + offset);

function cause(fleet: SimFleet, { what, who, ms }: Trouble): void {
  const { world, wires } = fleet;
  const all = StoreFaults.leaderFirst(fleet);
  const these = who.map((number) => all[number % all.length]!);
  const others = all.filter((name) => !these.includes(name));
  const later = (act: () => void): void => void world.at(world.now + ms, act);
  switch (what) {
    case "cut":
    case "cut one way":
      for (const name of these) fleet.isolate(name, others, what === "cut" ? "both" : "in");
      return later(() => wires.heal());
    case "kill":
      for (const name of these) fleet.kill(name);
      return later(() => these.forEach((name) => fleet.start(name)));
    case "freeze":
      return these.forEach((name) => fleet.pause(name, ms));
    case "slow":
      for (const name of these) wires.slow.set(fleet.addressOf(name), 400);
      return later(() => wires.heal());
    case "loss":
      wires.loss = 0.2;
      return later(() => wires.heal());
  }
}

/** Troubles of the metadata store, for plays that fast-check makes up and shrinks. */
export const StoreFaults = {
  /** After a burst, while whoever led may not know that another does. */
  afterBurst: fc.record({ at: burst, later: fc.integer({ min: 0, max: 1500 }) }).map(({ at, later }) => at + later),

  /** All bursts lie within. */
  lengthMs: 13_000,
  burst,
  arbitrary: fc.array(
    fc.record({
      at: burst,
      ms: fc.oneof(fc.integer({ min: 100, max: 1200 }), fc.integer({ min: 1200, max: 5000 })),
      what: fc.constantFrom("cut", "cut", "cut one way", "kill", "freeze", "slow", "loss"),
      who: fc.oneof(
        fc.constant<number[]>([0]),
        fc.uniqueArray(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 2 }),
      ),
    }),
    { maxLength: 6 },
  ),

  /** The control nodes, the leader of this moment at their head: where races and losses are to be met. */
  leaderFirst(fleet: SimFleet): string[] {
    const leader = fleet.leader;
    return fleet.withRole("lathe").toSorted((a, b) => Number(b === leader) - Number(a === leader));
  },

  /** Asks for all of them from now on; each is over by itself. */
  cause(fleet: SimFleet, faults: readonly Trouble[]): void {
    const start = fleet.world.now;
    for (const fault of faults) fleet.world.at(start + fault.at, () => cause(fleet, fault));
  },
};
