import { EventEmitter } from "node:events";
import type { Change } from "../feeds/feedFollower.js";
import type { ChangeJournal } from "../feeds/changeJournal.js";
import { IncarnationsKey, type IncarnationsRecord } from "../keys/incarnationsKey.js";
import type { Plan } from "./configuration.js";
import { PlanKey } from "../keys/configurationKey.js";
import type { InvariantMonitor } from "../runtime/invariantMonitor.js";
import { PlanReader } from "./configurationReader.js";
import { Streams, type StreamRoute } from "./streams.js";

/**
 * The plan in force on this node, and its spaces' births.
 * Invariants: the mark only rises; plan and births are taken up together, those of one mark.
 */
export class PlanView extends EventEmitter<{ changed: [] }> {
  plan: Plan | undefined;
  text = "";
  /** The store's revision of the plan in force here; 0 while there is none. */
  revision = 0;
  /** Why the newest plan is not in force here; empty when it is. */
  fault = "";
  #incarnations: IncarnationsRecord | undefined;
  readonly #invariants: Pick<InvariantMonitor, "violated"> | undefined;
  #next: { plan: Plan; text: string; revision: number } | undefined;
  #nextIncarnations: IncarnationsRecord | undefined;

  constructor(journal: ChangeJournal<Change>, invariants?: Pick<InvariantMonitor, "violated">) {
    super();
    this.#invariants = invariants;
    this.setMaxListeners(0);
    journal.fold((change) => this.#fold(change));
  }

  get mark(): number {
    return this.plan?.mark ?? 0;
  }

  /** Where a topic's messages go; undefined where this node knows no such space. */
  route(topic: string): StreamRoute | undefined {
    return Streams.route(this.plan, this.#incarnations, topic);
  }

  /** The space's birth that a stream must have to be in force; undefined where the plan has no such stream. */
  spaceIncarnationOf(stream: string): number | undefined {
    return Streams.spaceIncarnationIn(this.plan, this.#incarnations, stream);
  }

  #fold(change: Change): void {
    if (change.value === undefined) return;
    if (change.key === IncarnationsKey.name) this.#nextIncarnations = IncarnationsKey.read(change.value);
    else if (change.key === PlanKey.name) this.#read(Buffer.from(change.value).toString(), change.revision);
    else return;
    this.#takeUp();
  }

  #read(text: string, revision: number): void {
    const read = PlanReader.parse(text);
    if ("faults" in read) this.fault = `cannot read the plan: ${read.faults[0]!.path} ${read.faults[0]!.problem}`;
    else this.#next = { plan: read.plan, text, revision };
  }

  #takeUp(): void {
    const next = this.#next;
    const incarnations = this.#nextIncarnations;
    if (next === undefined || incarnations?.mark !== next.plan.mark) return;
    if (next.plan.mark < this.mark)
      this.#invariants?.violated("configurationVersion", { inForce: this.mark, told: next.plan.mark });
    if (next.plan.mark <= this.mark) return;
    this.fault = "";
    this.plan = next.plan;
    this.text = next.text;
    this.revision = next.revision;
    this.#incarnations = incarnations;
    this.emit("changed");
  }
}
