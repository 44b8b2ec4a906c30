import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import PQueue from "p-queue";
import { Scenario, type ScenarioReport } from "./scenario.js";
import { Faults, type FaultName } from "./faults.js";

/** Range of seeds and kinds of faults; `ms` is virtual time under faults, `atOnce` the number of processes. */
export interface SweepOptions {
  from: number;
  seeds: number;
  ms: number;
  faults?: readonly FaultName[] | undefined;
  atOnce: number;
}

/** Runs many seeds, several at a time, and sums up their reports. */
export class Sweep {
  readonly #options: SweepOptions;
  readonly #onReport: (report: ScenarioReport) => void;
  readonly #faultCounts = new Map<string, number>();
  readonly #closingCounts = new Map<string, number>();
  readonly #late = new Map<string, { count: number; worst: number; seed: number }>();
  #worstBackMs = 0;
  #received = 0;
  passed = 0;
  failed = 0;

  constructor(options: SweepOptions, say: (report: ScenarioReport) => void) {
    this.#options = options;
    this.#onReport = say;
  }

  static run(seed: number, ms: number, faults: readonly FaultName[] | undefined): Promise<ScenarioReport> {
    return Scenario.run(seed, {
      ...Scenario.optionsFor(seed),
      faultMs: ms,
      ...(faults === undefined ? {} : { faults }),
    });
  }

  /** Runs all seeds in child processes, each with up to eight consecutive seeds. */
  async run(program: string): Promise<void> {
    const { from, seeds, atOnce } = this.#options;
    const queue = new PQueue({ concurrency: atOnce });
    const size = Math.max(1, Math.min(8, Math.ceil(seeds / atOnce)));
    for (let first = from; first < from + seeds; first += size) {
      const count = Math.min(size, from + seeds - first);
      void queue.add(() => this.#runPart(program, first, count));
    }
    await queue.onIdle();
  }

  /** Adds one seed's report to the totals, and passes it on. */
  addReport(report: ScenarioReport): void {
    if (report.breaches.length === 0) this.passed += 1;
    else this.failed += 1;
    for (const fault of report.faults) {
      const what = fault.split(" ")[1]!;
      this.#faultCounts.set(what, (this.#faultCounts.get(what) ?? 0) + 1);
    }
    if (report.closing !== undefined)
      this.#closingCounts.set(report.closing, (this.#closingCounts.get(report.closing) ?? 0) + 1);
    for (const { cause, count, worst } of report.late) {
      const known = this.#late.get(cause) ?? { count: 0, worst: 0, seed: 0 };
      const seed = worst > known.worst ? report.seed : known.seed;
      this.#late.set(cause, { count: known.count + count, worst: Math.max(known.worst, worst), seed });
    }
    this.#received += report.received;
    if (Number.isFinite(report.backMs)) this.#worstBackMs = Math.max(this.#worstBackMs, Math.round(report.backMs));
    this.#onReport(report);
  }

  /** Readable summary of all reports. */
  get text(): string {
    const counts = (of: Map<string, number>): string =>
      [...of]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([what, count]) => `${what} ${count}`)
        .join(", ");
    const never = (this.#options.faults ?? Faults.all).filter((name) => !this.#faultCounts.has(name));
    const late = [...this.#late]
      .sort((a, b) => b[1].worst - a[1].worst)
      .slice(0, 12)
      .map(([cause, { count, worst, seed }]) => `  ${count} during ${cause}, up to ${worst} ms (seed ${seed})\n`);
    const all = [...this.#late.values()].reduce((sum, { count }) => sum + count, 0);
    return (
      `faults caused: ${counts(this.#faultCounts)}\n` +
      `faults that never came about: ${never.join(", ") || "none"}\n` +
      `closings: ${counts(this.#closingCounts)}\n` +
      `service back after ${this.#worstBackMs} ms at the latest; ${all} of ${this.#received} receipts above 2 s\n` +
      `${late.join("")}${this.passed} passed, ${this.failed} failed\n`
    );
  }

  async #runPart(program: string, first: number, count: number): Promise<void> {
    const { ms, faults } = this.#options;
    const args = ["sim", "--json", "--from", String(first), "--seeds", String(count), "--ms", String(ms)];
    if (faults !== undefined) args.push("--faults", faults.join(","));
    const child = spawn(process.execPath, [program, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    let reportCount = 0;
    for await (const line of createInterface({ input: child.stdout })) {
      reportCount += 1;
      this.addReport(JSON.parse(line) as ScenarioReport);
    }
    this.failed += count - reportCount;
  }
}
