import type { LogBuffer } from "./logBuffer.js";

/** Invariants that must hold in every process, whatever fails around it. Metrics use the same names. */
export const invariantNames = [
  /** The sequence numbers of a publisher increase within one incarnation of a stream. */
  "publisherOrder",
  /** A confirmed read of the configuration is no older than any version that this process has seen before. */
  "configurationRead",
  /** The configuration in force never goes back to a lower version. */
  "configurationVersion",
  /** No leader of the current term or a later one has a different entry at an index that is committed in this log. */
  "committedLog",
  /** A confirmed subscription ends only when its client unsubscribes or its connection ends. */
  "subscriptionEnd",
] as const;
export type InvariantName = (typeof invariantNames)[number];

/** Counts violations of invariants and logs the first `maxLogged` of them with their context. */
export class InvariantMonitor {
  static readonly maxLogged = 20;
  /** Text of the log line. */
  static readonly logText = "an invariant is violated";

  readonly #log: Pick<LogBuffer, "fault">;
  readonly #counts = new Map<InvariantName, number>();

  constructor(log: Pick<LogBuffer, "fault">) {
    this.#log = log;
  }

  /** Violations of all invariants since the process started. */
  get total(): number {
    return [...this.#counts.values()].reduce((sum, count) => sum + count, 0);
  }

  countOf(name: InvariantName): number {
    return this.#counts.get(name) ?? 0;
  }

  counts(): Record<string, number> {
    return Object.fromEntries(invariantNames.map((name) => [name, this.countOf(name)]));
  }

  violated(name: InvariantName, context: Record<string, string | number>): void {
    this.#counts.set(name, this.countOf(name) + 1);
    if (this.total <= InvariantMonitor.maxLogged)
      this.#log.fault(InvariantMonitor.logText, { invariant: name, ...context });
  }
}
