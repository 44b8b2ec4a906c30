import type { FleetClient } from "../fleetClient.js";

export interface RunbookContext {
  client: FleetClient;
  args: Record<string, string>;
  wait(ms: number): Promise<void>;
  say(line: string): void;
}
/** What a check found: undefined where all is well, else what is wrong. */
export type Check = (context: RunbookContext) => Promise<string | undefined>;

export interface Step {
  title: string;
  /** Must hold before the step is done. */
  before: Check;
  /** What is done; undefined where the step is somebody's own hands. */
  act?: (context: RunbookContext) => Promise<string | undefined>;
  /** Must come to hold after the step, by the due. */
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
