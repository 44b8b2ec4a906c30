import { step, type Action, type ActionKind } from "./action.js";
import type { ModelWorld } from "./modelWorld.js";

/** Kinds of actions that are about two machines. */
const paired: ReadonlySet<ActionKind> = new Set([
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

/** Leaders' clocks move more often, or no leader would stay. */
function ticks(world: ModelWorld): Action[] {
  const found = Choices.of(world, "tick");
  const led = found.filter(({ member }) => world.machines[member]!.member?.isActingLeader === true);
  return [...found, ...led, ...led];
}

/** Which actions of a kind mean something in a state. */
export const Choices = {
  /** All with the plain `nth`: the oldest frame, all writes, nothing unsynced kept. */
  of(world: ModelWorld, kind: ActionKind): Action[] {
    const found: Action[] = [];
    const count = world.machines.length;
    for (let member = 0; member < count; member += 1)
      for (let other = 0; other < (paired.has(kind) ? count : 1); other += 1) {
        const action = step(kind, member, other);
        if (world.isEnabled(action)) found.push(action);
      }
    return found;
  },

  /** The one that a drawn number stands for, if there is any; now and then with another `nth`. */
  pick(world: ModelWorld, kind: ActionKind, drawn: number): Action | undefined {
    const found = kind === "tick" ? ticks(world) : Choices.of(world, kind);
    const action = found[drawn % Math.max(1, found.length)];
    if (action === undefined) return undefined;
    const most = Choices.most(world, action);
    const rest = Math.floor(drawn / 64);
    const isPlain = kind !== "crash" && rest % 4 !== 0;
    return isPlain || most === 0 ? action : { ...action, nth: Math.floor(rest / 4) % (most + 1) };
  },

  /** The highest `nth` that means something. */
  most(world: ModelWorld, { kind, member, other }: Action): number {
    const machine = world.machines[member]!;
    if (kind === "crash" || kind === "sync") return machine.disk.pending;
    const isFrame = kind === "deliver" || kind === "drop" || kind === "duplicate";
    return isFrame ? world.network.count(machine.name, world.machines[other]!.name) - 1 : 0;
  },
};
