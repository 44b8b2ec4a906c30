import type { SequentialModel } from "./linearizability.js";

/** What operators do with the configuration. */
export type OrderInput = { kind: "put"; version: number; content: string; isValid: boolean } | { kind: "read" };

/** What they were told for good. */
export type OrderOutput =
  | { kind: "acknowledged" }
  /** A definite refusal because another content has the version. */
  | { kind: "refused" }
  /** A definite refusal for what the order is. */
  | { kind: "invalid" }
  /** The version and content in force; version 0 where there is none. */
  | { kind: "content"; version: number; content: string };

/** The register's sequential state. */
export interface RegisterState {
  version: number;
  content: string;
  /** The one content that each version may be acknowledged with. */
  contents: ReadonlyMap<number, string>;
}

/**
 * The configuration as operators may see it. The highest version holds; a version that is not above it changes
 * nothing; one content alone may be acknowledged under a version, the first, and it always may; another one may be
 * refused; and nothing else is refused.
 */
export const versionedRegister: SequentialModel<RegisterState, OrderInput, OrderOutput> = {
  initial: { version: 0, content: "", contents: new Map() },

  step(state, input, output) {
    if (input.kind === "read") return stepRead(state, output);
    const taken = state.contents.get(input.version);
    const isOther = taken !== undefined && taken !== input.content;
    switch (output?.kind) {
      case "invalid":
        return input.isValid ? undefined : state;
      case "refused":
        return isOther ? state : undefined;
      case "content":
        return undefined;
      case "acknowledged":
      case undefined:
        return !input.isValid || isOther ? undefined : put(state, input.version, input.content);
    }
  },

  keyOf({ version, content, contents }) {
    const sorted = [...contents].toSorted(([a], [b]) => a - b);
    return JSON.stringify([version, content, sorted]);
  },
};

function stepRead(state: RegisterState, output: OrderOutput | undefined): RegisterState | undefined {
  if (output === undefined) return state;
  const isHeld = output.kind === "content" && output.version === state.version && output.content === state.content;
  return isHeld ? state : undefined;
}

function put(state: RegisterState, version: number, content: string): RegisterState {
  if (state.contents.has(version)) return state;
  const contents = new Map(state.contents).set(version, content);
  return version > state.version ? { version, content, contents } : { ...state, contents };
}
