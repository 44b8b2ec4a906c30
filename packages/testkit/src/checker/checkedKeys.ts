import type { SequentialModel } from "./linearizability.js";

/** Values by key; undefined where the key is not there. Every write of a history has a value of its own. */
export type Values = Readonly<Record<string, string | undefined>>;

/** Transactions of the store, in which a checked revision is named by the value that it stood for. */
export type KeysInput = { kind: "txn"; expected: Values; puts: Values } | { kind: "read"; keys: readonly string[] };
export type KeysOutput = { kind: "done" } | { kind: "conflict" } | { kind: "values"; values: Values };

/** The store's keys: a transaction writes all that it puts if every key that it checks is as expected, else nothing. */
export const checkedKeys: SequentialModel<Values, KeysInput, KeysOutput> = {
  initial: {},

  step(state, input, output) {
    if (input.kind === "read") {
      if (output === undefined) return state;
      return output.kind === "values" && holds(state, output.values) ? state : undefined;
    }
    const isExpected = holds(state, input.expected);
    if (output?.kind === "conflict") return isExpected ? undefined : state;
    if (output === undefined && !isExpected) return state;
    return isExpected && output?.kind !== "values" ? { ...state, ...input.puts } : undefined;
  },

  keyOf(state) {
    const present = Object.entries(state).filter(([, value]) => value !== undefined);
    return JSON.stringify(present.toSorted(([a], [b]) => (a < b ? -1 : 1)));
  },
};

function holds(state: Values, values: Values): boolean {
  return Object.entries(values).every(([key, value]) => state[key] === value);
}
