import { EventEmitter } from "node:events";
import type { Change } from "../process/feedFollower.js";
import type { Journal } from "../process/journal.js";
import { Plans, type Plan } from "./plan.js";

/** The plan in force on this node. Invariant: its mark only rises. */
export class PlanView extends EventEmitter<{ changed: [] }> {
  plan: Plan | undefined;
  text = "";

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
    if ("faults" in read || read.plan.mark <= this.mark) return;
    this.plan = read.plan;
    this.text = text;
    this.emit("changed");
  }
}
