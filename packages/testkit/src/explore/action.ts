/**
 * What may happen in one step of the model. `member` is the machine it happens on, `other` the second machine of an
 * action that has one, `nth` picks among several (a message of a channel, a number of writes).
 */
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

export type ActionKind = (typeof actionKinds)[number];

export interface Action {
  readonly kind: ActionKind;
  readonly member: number;
  readonly other: number;
  readonly nth: number;
}

export function step(kind: ActionKind, member: number, other = 0, nth = 0): Action {
  return { kind, member, other, nth };
}

/** As it stands in a test. */
export function actionText({ kind, member, other, nth }: Action): string {
  const numbers = [member, other, nth];
  while (numbers.length > 1 && numbers.at(-1) === 0) numbers.pop();
  return `act("${kind}", ${numbers.join(", ")})`;
}
