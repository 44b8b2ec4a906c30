import type { ActionKind } from "./action.js";

/** Relative frequency with which each kind of action is drawn. */
export type Weights = Partial<Record<ActionKind, number>>;

const baseWeights: Weights = { deliver: 60, sync: 30, tick: 3, propose: 8, order: 3, read: 4 };
const restarts: Weights = { ...baseWeights, crash: 1.2, stop: 0.4, restart: 4 };
const memberChanges: Weights = { addLearner: 1, promote: 3, removeVoter: 0.5, removeLearner: 0.2, tend: 6, drain: 0.4 };

/**
 * Kinds of random walks, by name. Each injects only some kinds of faults, so that walks get far enough for these to
 * matter.
 */
export const profiles: Readonly<Record<string, Weights>> = {
  restarts,
  losses: { ...baseWeights, tick: 5, drop: 10, duplicate: 3, cut: 0.6, mend: 1.5 },
  frozen: { ...baseWeights, freeze: 1, thaw: 2, cut: 0.4, mend: 0.8, crash: 0.3, restart: 3 },
  cutOff: { ...baseWeights, read: 10, order: 6, cut: 2, mend: 2.5, tick: 9, drop: 2 },
  orders: { ...baseWeights, order: 16, propose: 2, drop: 4, cut: 0.6, mend: 1.5, crash: 0.8, restart: 4, tick: 5 },
  everything: { ...restarts, drop: 4, duplicate: 2, cut: 0.4, mend: 1, freeze: 0.5, thaw: 1.5, tick: 4 },
  members: { ...restarts, ...memberChanges, loseDisk: 0.6, replace: 4 },
  tended: {
    ...baseWeights,
    tick: 9,
    crash: 0.5,
    stop: 0.3,
    restart: 3,
    standBy: 0.3,
    loseDisk: 0.4,
    join: 6,
    drain: 1,
    undrain: 0.3,
  },
  calls: { deliver: 20, call: 10, crash: 1, restart: 4, tick: 1, freeze: 1, thaw: 2, drop: 2 },
};
