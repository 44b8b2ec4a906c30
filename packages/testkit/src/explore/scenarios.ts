import { step, type Action, type ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import type { SearchSettings } from "./exhaustiveSearch.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";

const threeVoters: WorldSettings = { machines: 3, voters: 3, syncsAtOnce: true };
const threeVotersAndSpare: WorldSettings = { machines: 4, voters: 3, syncsAtOnce: true };

/** How often each kind of action may be performed on one path. */
type Limits = Partial<Record<ActionKind, number>>;
/** Brings a new world into the state from which a search starts. */
type Prepare = (world: ModelWorld, deliverAll: (cutOff?: number) => Promise<void>) => Promise<void>;

/** Start state and bounds of an exhaustive search. */
interface Scenario {
  readonly name: string;
  readonly world: WorldSettings;
  readonly prepare: Prepare;
  readonly limits: Limits;
  /** Depth to which the tests search; `--depth` overrides it. */
  readonly depth: number;
}

/** Delivers frames until none is in flight; frames to and from the machine `cutOff` are dropped instead. */
async function deliverAll(world: ModelWorld, cutOff = -1): Promise<void> {
  for (;;) {
    const [next] = Choices.enabled(world, "deliver");
    if (next === undefined) return;
    const isDropped = next.member === cutOff || next.other === cutOff;
    await world.perform(isDropped ? { ...next, kind: "drop" } : next);
  }
}

async function dropAll(world: ModelWorld): Promise<void> {
  for (;;) {
    const [next] = Choices.enabled(world, "drop");
    if (next === undefined) return;
    await world.perform(next);
  }
}

const elect: Prepare = async (world, deliver) => {
  await world.perform(step("tick", 0));
  await deliver();
  await world.perform(step("tick", 0));
  await deliver();
};

/** The scenarios of exhaustive search. */
export const scenarios: readonly Scenario[] = [
  {
    name: "voters are exchanged",
    world: threeVotersAndSpare,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      await world.perform(step("addLearner", 0, 3));
      await deliver();
      await world.perform(step("tick", 0));
      await deliver();
      await world.perform(step("drain", 0, 2));
    },
    limits: { deliver: Infinity, tend: 1, tick: 1, crash: 1, propose: 1 },
    depth: 3,
  },
  {
    name: "first election",
    world: threeVoters,
    prepare: async () => undefined,
    limits: { deliver: Infinity, tick: 2, hold: 1, crash: 1, restart: 1 },
    depth: 5,
  },
  {
    name: "a leader and orders",
    world: threeVoters,
    prepare: elect,
    limits: { deliver: Infinity, tick: 2, order: 2, read: 1, drop: 1 },
    depth: 4,
  },
  {
    name: "all restart after a compaction",
    world: threeVoters,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      for (let i = 0; i < 3; i += 1) {
        await world.perform(step("propose", 0));
        await deliver(2);
      }
      // The leader gets an entry that the others lack, so that its first append is rejected.
      await world.perform(step("propose", 0));
      await dropAll(world);
      for (const at of [0, 1, 2]) await world.perform(step("crash", at));
      for (const at of [0, 1, 2]) await world.perform(step("restart", at));
    },
    limits: { deliver: Infinity, tick: 2, propose: 1 },
    depth: 9,
  },
  {
    name: "members change",
    world: threeVotersAndSpare,
    prepare: async (world, deliver) => {
      await elect(world, deliver);
      await world.perform(step("addLearner", 0, 3));
      await deliver();
      await world.perform(step("tick", 0));
      await deliver();
    },
    limits: { deliver: Infinity, promote: 1, removeVoter: 1, tick: 1, propose: 1, crash: 1 },
    depth: 3,
  },
];

/** The settings to search a scenario within bounds. */
export async function searchSettingsOf(
  { world, prepare, limits, depth }: Scenario,
  bounds: Pick<SearchSettings, "maxStates" | "shrinkMs">,
): Promise<SearchSettings> {
  const prepared = await ModelWorld.start(world);
  await prepare(prepared, (cutOff) => deliverAll(prepared, cutOff));
  const prefix: Action[] = [...prepared.performed];
  return { world, prefix, limits, depth, ...bounds };
}
