import { step, type Action, type ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import type { SearchSettings } from "./exhaustiveSearch.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";

const three: WorldSettings = { machines: 3, voters: 3, syncsAtOnce: true };
const withSpare: WorldSettings = { machines: 4, voters: 3, syncsAtOnce: true };

type Limits = Partial<Record<ActionKind, number>>;
type Prepare = (world: ModelWorld, deliverAll: (cutOff?: number) => Promise<void>) => Promise<void>;

interface Scenario {
  readonly name: string;
  readonly world: WorldSettings;
  readonly prepare: Prepare;
  readonly limits: Limits;
  /** Searched through in the tests. */
  readonly depth: number;
}

/** Delivers all that is under way, until nothing is; what goes to or comes from one machine may be dropped instead. */
async function deliverAll(world: ModelWorld, cutOff = -1): Promise<void> {
  for (;;) {
    const [next] = Choices.of(world, "deliver");
    if (next === undefined) return;
    const isDropped = next.member === cutOff || next.other === cutOff;
    await world.take(isDropped ? { ...next, kind: "drop" } : next);
  }
}

async function dropAll(world: ModelWorld): Promise<void> {
  for (;;) {
    const [next] = Choices.of(world, "drop");
    if (next === undefined) return;
    await world.take(next);
  }
}

const elect: Prepare = async (world, deliver) => {
  await world.take(step("tick", 0));
  await deliver();
  await world.take(step("tick", 0));
  await deliver();
};

/** The starts of exhaustive searches, and what may happen after them. */
export const scenarios: readonly Scenario[] = [
  {
    name: "voters are exchanged",
    world: withSpare,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      await world.take(step("addLearner", 0, 3));
      await deliver();
      await world.take(step("tick", 0));
      await deliver();
      await world.take(step("drain", 0, 2));
    },
    limits: { deliver: Infinity, maintain: 1, tick: 1, crash: 1, propose: 1 },
    depth: 3,
  },
  {
    name: "first election",
    world: three,
    prepare: async () => undefined,
    limits: { deliver: Infinity, tick: 2, hold: 1, crash: 1, restart: 1 },
    depth: 5,
  },
  {
    name: "a leader and orders",
    world: three,
    prepare: elect,
    limits: { deliver: Infinity, tick: 2, order: 2, read: 1, drop: 1 },
    depth: 4,
  },
  {
    name: "all restart after a compaction",
    world: three,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      for (let i = 0; i < 3; i += 1) {
        await world.take(step("propose", 0));
        await deliver(2);
      }
      // One entry more than the others have, so that its first append is refused.
      await world.take(step("propose", 0));
      await dropAll(world);
      for (const at of [0, 1, 2]) await world.take(step("crash", at));
      for (const at of [0, 1, 2]) await world.take(step("restart", at));
    },
    limits: { deliver: Infinity, tick: 2, propose: 1 },
    depth: 9,
  },
  {
    name: "members change",
    world: withSpare,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      await world.take(step("addLearner", 0, 3));
      await deliver();
      await world.take(step("tick", 0));
      await deliver();
    },
    limits: { deliver: Infinity, promote: 1, removeVoter: 1, tick: 1, propose: 1, crash: 1 },
    depth: 3,
  },
];

/** A scenario, searched within bounds. */
export async function searchOf(
  { world, prepare, limits, depth }: Scenario,
  bounds: Pick<SearchSettings, "maxStates" | "shrinkMs">,
): Promise<SearchSettings> {
  const prepared = await ModelWorld.start(world);
  await prepare(prepared, (cutOff) => deliverAll(prepared, cutOff));
  const prefix: Action[] = [...prepared.taken];
  return { world, prefix, limits, depth, ...bounds };
}
