import type { LogBuffer } from "./logBuffer.js";

/** What must hold in every process, whatever fails around it. The names are those of the metrics. */
export const invariantNames = [
  /** A publisher's numbers rise within one incarnation of a stream. */
  "publisherOrder",
  /** A confirmed read of the configuration is no older than anything that this process has seen of it before. */
  "configurationRead",
  /** The configuration in force never goes back to a lower version. */
  "configurationVersion",
  /** No leader of the present term or a later one has another entry where this log's is committed. */
  "committedLog",
  /** A confirmed subscription ends only where its client or the end of its connection says so. */
  "subscriptionEnd",
] as const;
export type InvariantName = (typeof invariantNames)[number];

/** Counts violations of the process's invariants and logs each of the first ones, with what is known about it. */
export class InvariantMonitor {
  static readonly maxLogged = 20;
  /** What the line in the log begins with. */
  static readonly logText = "an invariant is violated";

  readonly #log: Pick<LogBuffer, "fault">;
  readonly #counts = new Map<InvariantName, number>();

  constructor(log: Pick<LogBuffer, "fault">) {
    this.#log = log;
  }

  /** Violations since the start, of all invariants. */
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
