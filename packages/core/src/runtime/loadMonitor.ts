import type { Clock } from "./clock.js";
import type { LogBuffer } from "./logBuffer.js";

/** What a part of the process says of the last interval, and whether that alone is worth a line. */
interface IntervalReport {
  readonly fields: Record<string, string | number>;
  readonly isNotable: boolean;
}

/**
 * How busy the process is: the processor time that it gets, and how late its event loop is. While the loop is late, or
 * something else is worth it, a line a second is written out at once, so that a process that does nothing but catch up
 * is seen while it does.
 */
export class LoadMonitor {
  /** How often lateness is sampled, and how often it is reported. */
  static readonly sampleMs = 250;
  static readonly intervalMs = 1000;
  /** A loop that is later than this is reported. */
  static readonly reportedLagMs = 250;

  readonly #clock: Clock;
  readonly #log: Pick<LogBuffer, "report">;
  readonly #processorMs: () => number;
  readonly #parts = new Map<string, () => IntervalReport>();
  #expectedAt = 0;
  #intervalLagMs = 0;
  #reportedAt = 0;
  #processorAtMs = 0;
  /** Lateness of the event loop: the worst of the last interval, and since the start. Milliseconds. */
  loopLagMs = 0;
  worstLoopLagMs = 0;
  /** The share of a core that the process had in the last interval. */
  processorShare = 0;

  /** `processorMs`: processor time of the process so far. */
  constructor(clock: Clock, log: Pick<LogBuffer, "report">, processorMs: () => number) {
    this.#clock = clock;
    this.#log = log;
    this.#processorMs = processorMs;
  }

  /** Begins to sample. */
  start(): void {
    this.#expectedAt = this.#clock.now() + LoadMonitor.sampleMs;
    this.#reportedAt = this.#clock.now();
    this.#processorAtMs = this.#processorMs();
    this.#clock.every(LoadMonitor.sampleMs, () => this.#sample());
  }

  /** Has a part of the process report at the end of each interval; what it says goes into the line under its name. */
  add(part: string, report: () => IntervalReport): void {
    this.#parts.set(part, report);
  }

  /** Fields of status. */
  status(): Record<string, number> {
    return {
      loopLagMs: Math.round(this.loopLagMs),
      worstLoopLagMs: Math.round(this.worstLoopLagMs),
      processorShare: Number(this.processorShare.toFixed(3)),
    };
  }

  #sample(): void {
    const now = this.#clock.now();
    this.#intervalLagMs = Math.max(this.#intervalLagMs, now - this.#expectedAt);
    this.#expectedAt = now + LoadMonitor.sampleMs;
    if (now - this.#reportedAt >= LoadMonitor.intervalMs) this.#report(now);
  }

  #report(now: number): void {
    const processorMs = this.#processorMs();
    this.processorShare = (processorMs - this.#processorAtMs) / (now - this.#reportedAt);
    this.loopLagMs = this.#intervalLagMs;
    this.worstLoopLagMs = Math.max(this.worstLoopLagMs, this.loopLagMs);
    this.#processorAtMs = processorMs;
    this.#reportedAt = now;
    this.#intervalLagMs = 0;
    const reports = [...this.#parts].map(([part, report]) => [part, report()] as const);
    const isNotable = reports.some(([, report]) => report.isNotable);
    if (!isNotable && this.loopLagMs < LoadMonitor.reportedLagMs) return;
    const fields = reports.map(([part, report]) => [part, JSON.stringify(report.fields)] as const);
    this.#log.report("load", { ...this.status(), ...Object.fromEntries(fields) });
  }
}
