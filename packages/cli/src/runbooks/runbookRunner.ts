import type { Runbook, RunbookContext, Step } from "./runbook.js";

export interface StepReport {
  step: string;
  outcome: "done" | "would be done" | "failed before" | "failed" | "failed after" | "not reached";
  why?: string;
}

/** Runs a runbook step by step, or says what it would do. */
export class RunbookRunner {
  static readonly lookMs = 500;

  readonly #context: RunbookContext;

  constructor(context: RunbookContext) {
    this.#context = context;
  }

  async run(runbook: Runbook, isDry: boolean): Promise<{ isDone: boolean; steps: StepReport[] }> {
    const steps: StepReport[] = [];
    for (const step of runbook.steps) {
      const report: StepReport = steps.some(({ outcome }) => outcome.startsWith("failed"))
        ? { step: step.title, outcome: "not reached" }
        : isDry
          ? await this.#look(step)
          : await this.#do(step);
      steps.push(report);
      this.#context.say(`${report.outcome}: ${report.step}${report.why === undefined ? "" : ` (${report.why})`}`);
    }
    return { isDone: !steps.some(({ outcome }) => outcome.startsWith("failed")), steps };
  }

  /** Only the first check is asked for, and nothing is changed. */
  async #look(step: Step): Promise<StepReport> {
    const why = await step.before(this.#context);
    return why === undefined
      ? { step: step.title, outcome: "would be done" }
      : { step: step.title, outcome: "would be done", why: `at present: ${why}` };
  }

  async #do(step: Step): Promise<StepReport> {
    const unready = await step.before(this.#context);
    if (unready !== undefined) return { step: step.title, outcome: "failed before", why: unready };
    const failed = await step.act?.(this.#context);
    if (failed !== undefined) return { step: step.title, outcome: "failed", why: failed };
    let why = await step.after(this.#context);
    for (let waited = 0; why !== undefined && waited < step.timeoutMs; waited += RunbookRunner.lookMs) {
      await this.#context.wait(RunbookRunner.lookMs);
      why = await step.after(this.#context);
    }
    return why === undefined
      ? { step: step.title, outcome: "done" }
      : { step: step.title, outcome: "failed after", why };
  }
}
