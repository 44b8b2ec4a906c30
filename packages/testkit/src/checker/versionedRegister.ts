import type { SequentialModel } from "./linearizability.js";

/** An operator's operation on the configuration: put one under a version, or read the one in force. */
export type RegisterInput = { kind: "put"; version: number; content: string; isValid: boolean } | { kind: "read" };

/** The definite answer to an operation. */
export type RegisterOutput =
  | { kind: "acknowledged" }
  /** Refused because the version was already used for another content. */
  | { kind: "refused" }
  /** Refused because the content itself is invalid. */
  | { kind: "invalid" }
  /** The version and content in force; version 0 if there is none. */
  | { kind: "content"; version: number; content: string };

/** State of the register: the version and content in force. */
export interface RegisterState {
  version: number;
  content: string;
  /** By version, the only content that may be acknowledged under it. */
  contents: ReadonlyMap<number, string>;
}

/**
 * Sequential specification of the configuration as operators observe it. The highest version is in force; a put of a
 * lower or equal version is acknowledged without effect. The first content put under a version is the only one that
 * may be acknowledged under it, any number of times; another content is refused, and so is invalid content. Nothing
 * else is refused.
 */
export const versionedRegister: SequentialModel<RegisterState, RegisterInput, RegisterOutput> = {
  initial: { version: 0, content: "", contents: new Map() },

  step(state, input, output) {
    if (input.kind === "read") return stepRead(state, output);
    const firstContent = state.contents.get(input.version);
    const hasOtherContent = firstContent !== undefined && firstContent !== input.content;
    switch (output?.kind) {
      case "invalid":
        return input.isValid ? undefined : state;
      case "refused":
        return hasOtherContent ? state : undefined;
      case "content":
        return undefined;
      case "acknowledged":
      case undefined:
        return !input.isValid || hasOtherContent ? undefined : put(state, input.version, input.content);
    }
  },

  keyOf({ version, content, contents }) {
    const sorted = [...contents].toSorted(([a], [b]) => a - b);
    return JSON.stringify([version, content, sorted]);
  },
};

function stepRead(state: RegisterState, output: RegisterOutput | undefined): RegisterState | undefined {
  if (output === undefined) return state;
  const isInForce = output.kind === "content" && output.version === state.version && output.content === state.content;
  return isInForce ? state : undefined;
}

function put(state: RegisterState, version: number, content: string): RegisterState {
  if (state.contents.has(version)) return state;
  const contents = new Map(state.contents).set(version, content);
  return version > state.version ? { version, content, contents } : { ...state, contents };
}
