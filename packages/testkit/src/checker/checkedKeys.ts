import type { SequentialModel } from "./linearizability.js";

/** Values by key; undefined if the key does not exist. Every write of a history must have a distinct value. */
export type Values = Readonly<Record<string, string | undefined>>;

/** A store transaction or a read. A transaction's checked revisions are given as the values they stand for. */
export type KeysInput = { kind: "txn"; expected: Values; puts: Values } | { kind: "read"; keys: readonly string[] };
/** The answer to an operation on the keys. */
export type KeysOutput = { kind: "done" } | { kind: "conflict" } | { kind: "values"; values: Values };

/**
 * Sequential specification of the store's keys: a transaction writes all its puts if every checked key has the expected
 * value, else nothing.
 */
export const checkedKeys: SequentialModel<Values, KeysInput, KeysOutput> = {
  initial: {},

  step(state, input, output) {
    if (input.kind === "read") {
      if (output === undefined) return state;
      return output.kind === "values" && matches(state, output.values) ? state : undefined;
    }
    const isExpected = matches(state, input.expected);
    if (output?.kind === "conflict") return isExpected ? undefined : state;
    if (output === undefined && !isExpected) return state;
    return isExpected && output?.kind !== "values" ? { ...state, ...input.puts } : undefined;
  },

  keyOf(state) {
    const present = Object.entries(state).filter(([, value]) => value !== undefined);
    return JSON.stringify(present.toSorted(([a], [b]) => (a < b ? -1 : 1)));
  },
};

function matches(state: Values, values: Values): boolean {
  return Object.entries(values).every(([key, value]) => state[key] === value);
}
