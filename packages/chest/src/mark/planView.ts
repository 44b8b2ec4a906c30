import { EventEmitter } from "node:events";
import type { Change } from "../process/feedFollower.js";
import type { Journal } from "../process/journal.js";
import { Plans, type Plan } from "./plan.js";

/** The plan in force on this node. Invariant: its mark only rises. */
export class PlanView extends EventEmitter<{ changed: [] }> {
  plan: Plan | undefined;
  text = "";
  /** Why the newest plan is not in force here; empty when it is. */
  fault = "";

  constructor(journal: Journal<Change>) {
    super();
    journal.fold((change) => this.#fold(change));
  }

  get mark(): number {
    return this.plan?.mark ?? 0;
  }

  #fold(change: Change): void {
    if (change.key !== "plan" || change.value === undefined) return;
    const text = Buffer.from(change.value).toString();
    const read = Plans.read(JSON.parse(text));
    if ("faults" in read)
      return void (this.fault = `cannot read the plan: ${read.faults[0]!.path} ${read.faults[0]!.problem}`);
    if (read.plan.mark <= this.mark) return;
    this.fault = "";
    this.plan = read.plan;
    this.text = text;
    this.emit("changed");
  }
}
