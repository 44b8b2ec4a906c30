import { step, type Action, type ActionKind } from "./action.js";
import type { ModelWorld } from "./modelWorld.js";

/** Kinds of actions that involve two machines. */
const twoMachineKinds: ReadonlySet<ActionKind> = new Set([
  "deliver",
  "drop",
  "duplicate",
  "cut",
  "mend",
  "call",
  "addLearner",
  "promote",
  "removeVoter",
  "removeLearner",
  "replace",
  "drain",
  "undrain",
  "join",
]);

/** Possible ticks, with those of leaders three times: otherwise no leader would keep its leadership. */
function weightedTicks(world: ModelWorld): Action[] {
  const actions = Choices.enabled(world, "tick");
  const ofLeaders = actions.filter(({ member }) => world.machines[member]!.member?.isActingLeader === true);
  return [...actions, ...ofLeaders, ...ofLeaders];
}

/** Which actions are possible in a state of the model. */
export const Choices = {
  /** All possible actions of a kind with `nth` 0: the oldest frame, all writes synced, no unsynced write kept. */
  enabled(world: ModelWorld, kind: ActionKind): Action[] {
    const actions: Action[] = [];
    const count = world.machines.length;
    for (let member = 0; member < count; member += 1)
      for (let other = 0; other < (twoMachineKinds.has(kind) ? count : 1); other += 1) {
        const action = step(kind, member, other);
        if (world.isEnabled(action)) actions.push(action);
      }
    return actions;
  },

  /** The possible action that a random number selects, if there is any; sometimes with `nth` other than 0. */
  pick(world: ModelWorld, kind: ActionKind, drawn: number): Action | undefined {
    const actions = kind === "tick" ? weightedTicks(world) : Choices.enabled(world, kind);
    const action = actions[drawn % Math.max(1, actions.length)];
    if (action === undefined) return undefined;
    const highest = Choices.maxNth(world, action);
    const rest = Math.floor(drawn / 64);
    const keepsDefaultNth = kind !== "crash" && rest % 4 !== 0;
    return keepsDefaultNth || highest === 0 ? action : { ...action, nth: Math.floor(rest / 4) % (highest + 1) };
  },

  /** The highest `nth` with which an action is possible. */
  maxNth(world: ModelWorld, { kind, member, other }: Action): number {
    const machine = world.machines[member]!;
    if (kind === "crash" || kind === "sync") return machine.disk.pendingCount;
    const isFrame = kind === "deliver" || kind === "drop" || kind === "duplicate";
    return isFrame ? world.network.frameCount(machine.name, world.machines[other]!.name) - 1 : 0;
  },
};
