import { EventEmitter } from "node:events";
import type { Change } from "../feeds/feedFollower.js";
import type { ChangeJournal } from "../feeds/changeJournal.js";
import { IncarnationsKey, type IncarnationsRecord } from "../keys/incarnationsKey.js";
import type { Configuration } from "./configuration.js";
import { ConfigurationKey } from "../keys/configurationKey.js";
import type { Clock } from "../runtime/clock.js";
import type { InvariantMonitor } from "../runtime/invariantMonitor.js";
import { ConfigurationReader } from "./configurationReader.js";
import { keepsNothing } from "./keepsNothing.js";
import { Streams, type StreamRoute } from "./streams.js";

/**
 * The configuration in force on this node, and its spaces' incarnations.
 * Invariants: the version only rises; configuration and incarnations of one version come into force together.
 */
export class ConfigurationView extends EventEmitter<{ changed: [] }> {
  configuration: Configuration | undefined;
  /** The JSON text of the configuration in force; empty while there is none. */
  text = "";
  /** The store's revision of the configuration in force here; 0 while there is none. */
  revision = 0;
  /** Why the newest configuration is not in force here; empty when it is. */
  fault = "";
  #incarnations: IncarnationsRecord | undefined;
  readonly #invariants: Pick<InvariantMonitor, "violated"> | undefined;
  #pendingConfiguration: { configuration: Configuration; text: string; revision: number } | undefined;
  #pendingIncarnations: IncarnationsRecord | undefined;

  constructor(journal: ChangeJournal<Change>, invariants?: Pick<InvariantMonitor, "violated">) {
    super();
    this.#invariants = invariants;
    this.setMaxListeners(0);
    journal.subscribe((change) => this.#handleChange(change));
  }

  get version(): number {
    return this.configuration?.version ?? 0;
  }

  /** The stream of a topic; undefined if this node knows no space for it. */
  route(topic: string): StreamRoute | undefined {
    return Streams.route(this.configuration, this.#incarnations, topic);
  }

  /** Resolves once this version or a later one is in force here, or `timeoutMs` have passed. */
  reached(version: number, clock: Clock, timeoutMs: number): Promise<void> {
    if (this.version >= version) return Promise.resolve();
    return new Promise((resolve) => {
      const onChanged = (): void => {
        if (this.version >= version) finish();
      };
      const finish = (): void => {
        timer.stop();
        this.off("changed", onChanged);
        resolve();
      };
      const timer = clock.once(timeoutMs, finish);
      this.on("changed", onChanged);
    });
  }

  /** Whether messages of the stream outlive the leader that accepted them, by the configuration in force here. */
  isKept(stream: string): boolean {
    return !keepsNothing(this.configuration, stream);
  }

  /**
   * The space incarnation that a stream must have to be in force; undefined if the configuration has no such stream.
   */
  spaceIncarnationOf(stream: string): number | undefined {
    return Streams.spaceIncarnationIn(this.configuration, this.#incarnations, stream);
  }

  #handleChange(change: Change): void {
    if (change.value === undefined) return;
    if (change.key === IncarnationsKey.name) this.#pendingIncarnations = IncarnationsKey.read(change.value);
    else if (change.key === ConfigurationKey.name)
      this.#readConfiguration(Buffer.from(change.value).toString(), change.revision);
    else return;
    this.#applyPending();
  }

  #readConfiguration(text: string, revision: number): void {
    const read = ConfigurationReader.parse(text);
    if ("faults" in read) this.fault = `cannot read the plan: ${read.faults[0]!.path} ${read.faults[0]!.problem}`;
    else this.#pendingConfiguration = { configuration: read.configuration, text, revision };
  }

  #applyPending(): void {
    const next = this.#pendingConfiguration;
    const incarnations = this.#pendingIncarnations;
    if (next === undefined || incarnations?.version !== next.configuration.version) return;
    if (next.configuration.version < this.version)
      this.#invariants?.violated("configurationVersion", {
        inForce: this.version,
        notified: next.configuration.version,
      });
    if (next.configuration.version <= this.version) return;
    this.fault = "";
    this.configuration = next.configuration;
    this.text = next.text;
    this.revision = next.revision;
    this.#incarnations = incarnations;
    this.emit("changed");
  }
}
