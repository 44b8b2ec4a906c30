import type { FleetClient } from "../fleetClient.js";

/** What the steps of one run use. `args` holds the runbook's options, and values that a step stores for later steps. */
export interface RunbookContext {
  client: FleetClient;
  args: Record<string, string>;
  /** Resolves after this many milliseconds. */
  wait(ms: number): Promise<void>;
  /** Prints one line for the operator. */
  print(line: string): void;
}

/** Checks a condition: resolves to undefined if it holds, else to a text that says what is wrong. */
export type Check = (context: RunbookContext) => Promise<string | undefined>;

/** One step of a runbook. Its conditions are checked before and after it, so that a run stops at the first problem. */
export interface Step {
  title: string;
  /** Must hold before the step is performed. */
  precondition: Check;
  /**
   * Performs the step; resolves to undefined, or to why it failed. Omitted if an operator performs the step, or if the
   * step is only a check.
   */
  perform?: (context: RunbookContext) => Promise<string | undefined>;
  /** Must hold within `timeoutMs` (milliseconds) after the step. */
  postcondition: Check;
  timeoutMs: number;
}

/** An operators' procedure that can be printed and executed; it stops at the first step that fails. */
export interface Runbook {
  name: string;
  about: string;
  /** The required options: name and meaning. */
  args: Record<string, string>;
  steps: Step[];
}
