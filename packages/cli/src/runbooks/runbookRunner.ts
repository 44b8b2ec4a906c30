import type { Runbook, RunbookContext, Step } from "./runbook.js";

/** The outcome of one step; `why` says what failed or, in a dry run, what the precondition lacks at present. */
export interface StepReport {
  step: string;
  outcome: "done" | "would be done" | "failed before" | "failed" | "failed after" | "not reached";
  why?: string;
}

/** Runs a runbook step by step, or reports what a run would do (dry run). */
export class RunbookRunner {
  /** Milliseconds between two checks of a step's postcondition. */
  static readonly checkIntervalMs = 500;

  readonly #context: RunbookContext;

  constructor(context: RunbookContext) {
    this.#context = context;
  }

  /** Runs the steps in order; those after the first failure are `not reached`. A dry run changes nothing. */
  async run(runbook: Runbook, isDryRun: boolean): Promise<{ isDone: boolean; steps: StepReport[] }> {
    const steps: StepReport[] = [];
    for (const step of runbook.steps) {
      const report: StepReport = steps.some(({ outcome }) => outcome.startsWith("failed"))
        ? { step: step.title, outcome: "not reached" }
        : isDryRun
          ? await this.#dryRun(step)
          : await this.#execute(step);
      steps.push(report);
      this.#context.print(`${report.outcome}: ${report.step}${report.why === undefined ? "" : ` (${report.why})`}`);
    }
    return { isDone: !steps.some(({ outcome }) => outcome.startsWith("failed")), steps };
  }

  /** Checks only the precondition, and changes nothing. */
  async #dryRun(step: Step): Promise<StepReport> {
    const why = await step.precondition(this.#context);
    return why === undefined
      ? { step: step.title, outcome: "would be done" }
      : { step: step.title, outcome: "would be done", why: `at present: ${why}` };
  }

  async #execute(step: Step): Promise<StepReport> {
    const unmetPrecondition = await step.precondition(this.#context);
    if (unmetPrecondition !== undefined) return { step: step.title, outcome: "failed before", why: unmetPrecondition };
    const failure = await step.perform?.(this.#context);
    if (failure !== undefined) return { step: step.title, outcome: "failed", why: failure };
    let why = await step.postcondition(this.#context);
    for (let waited = 0; why !== undefined && waited < step.timeoutMs; waited += RunbookRunner.checkIntervalMs) {
      await this.#context.wait(RunbookRunner.checkIntervalMs);
      why = await step.postcondition(this.#context);
    }
    return why === undefined
      ? { step: step.title, outcome: "done" }
      : { step: step.title, outcome: "failed after", why };
  }
}
