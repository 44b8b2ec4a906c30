import type { FleetClient } from "../fleetClient.js";

/** What the steps of one run work with; `args` are the runbook's options, and what a step leaves for later ones. */
export interface RunbookContext {
  client: FleetClient;
  args: Record<string, string>;
  wait(ms: number): Promise<void>;
  /** Prints one line for the operator. */
  say(line: string): void;
}
/** What a check found: undefined where all is well, else what is wrong. */
export type Check = (context: RunbookContext) => Promise<string | undefined>;

/** One step of a runbook. Conditions are checked before and after, so that a run stops where it would go wrong. */
export interface Step {
  title: string;
  /** Must hold before the step is done. */
  before: Check;
  /** What is done, and why it failed; left out where an operator does the step, or it only checks. */
  perform?: (context: RunbookContext) => Promise<string | undefined>;
  /** Must come to hold after the step, within `timeoutMs`. */
  after: Check;
  timeoutMs: number;
}

/** A procedure that can be read and run: it stops at the first step whose check fails. */
export interface Runbook {
  name: string;
  about: string;
  args: Record<string, string>;
  steps: Step[];
}
