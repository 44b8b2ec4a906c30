import type { Runbook, RunbookContext, Step } from "./runbook.js";

/** What became of one step; `why` is the check that failed. */
export interface StepReport {
  step: string;
  outcome: "done" | "would be done" | "failed before" | "failed" | "failed after" | "not reached";
  why?: string;
}

/** Runs a runbook step by step, or says what it would do. */
export class RunbookRunner {
  /** Milliseconds between two checks of a step's condition. */
  static readonly checkIntervalMs = 500;

  readonly #context: RunbookContext;

  constructor(context: RunbookContext) {
    this.#context = context;
  }

  /** Steps in order; after the first that fails, the rest are `not reached`. A dry run changes nothing. */
  async run(runbook: Runbook, isDry: boolean): Promise<{ isDone: boolean; steps: StepReport[] }> {
    const steps: StepReport[] = [];
    for (const step of runbook.steps) {
      const report: StepReport = steps.some(({ outcome }) => outcome.startsWith("failed"))
        ? { step: step.title, outcome: "not reached" }
        : isDry
          ? await this.#inspect(step)
          : await this.#do(step);
      steps.push(report);
      this.#context.say(`${report.outcome}: ${report.step}${report.why === undefined ? "" : ` (${report.why})`}`);
    }
    return { isDone: !steps.some(({ outcome }) => outcome.startsWith("failed")), steps };
  }

  /** Only the first check is asked for, and nothing is changed. */
  async #inspect(step: Step): Promise<StepReport> {
    const why = await step.before(this.#context);
    return why === undefined
      ? { step: step.title, outcome: "would be done" }
      : { step: step.title, outcome: "would be done", why: `at present: ${why}` };
  }

  async #do(step: Step): Promise<StepReport> {
    const unready = await step.before(this.#context);
    if (unready !== undefined) return { step: step.title, outcome: "failed before", why: unready };
    const failed = await step.perform?.(this.#context);
    if (failed !== undefined) return { step: step.title, outcome: "failed", why: failed };
    let why = await step.after(this.#context);
    for (let waited = 0; why !== undefined && waited < step.timeoutMs; waited += RunbookRunner.checkIntervalMs) {
      await this.#context.wait(RunbookRunner.checkIntervalMs);
      why = await step.after(this.#context);
    }
    return why === undefined
      ? { step: step.title, outcome: "done" }
      : { step: step.title, outcome: "failed after", why };
  }
}
