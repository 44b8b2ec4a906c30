import type { Clock } from "./clock.js";
import type { LogBuffer } from "./logBuffer.js";

/** What a component reports for the last interval; `isNotable` causes a log line by itself. */
interface IntervalReport {
  readonly fields: Record<string, string | number>;
  readonly isNotable: boolean;
}

/**
 * Measures the load of the process: its CPU time and the lag of its event loop. While the lag is high or a component
 * reports something notable, writes a log line every second at once, so that a process that is busy catching up can be
 * seen while it does.
 */
export class LoadMonitor {
  /** Milliseconds between samples of the lag, and between reports. */
  static readonly sampleMs = 250;
  static readonly intervalMs = 1000;
  /** A lag of at least this many milliseconds is logged. */
  static readonly reportedLagMs = 250;

  readonly #clock: Clock;
  readonly #log: Pick<LogBuffer, "report">;
  readonly #processorMs: () => number;
  readonly #reporters = new Map<string, () => IntervalReport>();
  #expectedAt = 0;
  #intervalLagMs = 0;
  #reportedAt = 0;
  #processorAtMs = 0;
  /** Lag of the event loop in milliseconds: the maximum of the last interval, and since the process started. */
  loopLagMs = 0;
  worstLoopLagMs = 0;
  /** CPU time used in the last interval, as a fraction of one core. */
  processorShare = 0;

  /** `processorMs` returns the CPU time of the process so far, in milliseconds. */
  constructor(clock: Clock, log: Pick<LogBuffer, "report">, processorMs: () => number) {
    this.#clock = clock;
    this.#log = log;
    this.#processorMs = processorMs;
  }

  /** Starts sampling. */
  start(): void {
    this.#expectedAt = this.#clock.now() + LoadMonitor.sampleMs;
    this.#reportedAt = this.#clock.now();
    this.#processorAtMs = this.#processorMs();
    this.#clock.every(LoadMonitor.sampleMs, () => this.#sample());
  }

  /** Adds a component that reports at the end of each interval; its fields appear in the log line under its name. */
  add(part: string, report: () => IntervalReport): void {
    this.#reporters.set(part, report);
  }

  /** The load fields of the status. */
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
    const reports = [...this.#reporters].map(([part, report]) => [part, report()] as const);
    const isNotable = reports.some(([, report]) => report.isNotable);
    if (!isNotable && this.loopLagMs < LoadMonitor.reportedLagMs) return;
    const fields = reports.map(([part, report]) => [part, JSON.stringify(report.fields)] as const);
    this.#log.report("load", { ...this.status(), ...Object.fromEntries(fields) });
  }
}
