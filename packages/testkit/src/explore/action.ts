/** All kinds of actions of the model. Printed traces, and the tests made from them, contain these names. */
export const actionKinds = [
  "deliver",
  "drop",
  "duplicate",
  "tick",
  "sync",
  "hold",
  "crash",
  "restart",
  "stop",
  "standBy",
  "loseDisk",
  "freeze",
  "thaw",
  "cut",
  "mend",
  "propose",
  "order",
  "read",
  "call",
  "addLearner",
  "promote",
  "removeVoter",
  "removeLearner",
  "replace",
  "drain",
  "tend",
  "join",
  "undrain",
] as const;

/** What can happen in one step of the model. */
export type ActionKind = (typeof actionKinds)[number];

/** One step of the model. */
export interface Action {
  readonly kind: ActionKind;
  /** Index of the machine on which it happens (for a message: the sender). */
  readonly member: number;
  /** Index of the second machine, where the kind has one (for a message: the receiver). */
  readonly other: number;
  /** Selects among several: which frame of a channel, or how many pending writes reach the disk. */
  readonly nth: number;
}

/** Creates an action; printed traces consist of these calls. */
export function step(kind: ActionKind, member: number, other = 0, nth = 0): Action {
  return { kind, member, other, nth };
}

/** Source text of the `step` call that creates an action; trailing zeros are left out. */
export function actionText({ kind, member, other, nth }: Action): string {
  const numbers = [member, other, nth];
  while (numbers.length > 1 && numbers.at(-1) === 0) numbers.pop();
  return `step("${kind}", ${numbers.join(", ")})`;
}
