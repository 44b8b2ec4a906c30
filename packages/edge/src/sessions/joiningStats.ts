import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { StepTimes, type StepTime } from "@cranetrack/core/runtime/stepTimes.js";

/** The steps of a client's joining, in their order. */
export type JoiningStep =
  /** Until the node has its lease, is in touch with the store, and admits the connection. */
  | "admission"
  /** The owner key is claimed, or its owner is told. */
  | "claim"
  /** The old owner stops and ships the session. */
  | "pull"
  /** From the connection's first attempt to its answer. */
  | "greeting"
  /** From the request for topics to the answer where they start. */
  | "starts";

/** How a joining's greeting ended; `abandoned`: the client was gone before. */
export type GreetingOutcome = "open" | "refused" | "abandoned";

/** What became of clients' joinings at this edge, and how long each step took. */
export class JoiningStats {
  /** A greeting that took longer is worth a line in the log. */
  static readonly slowMs = 1000;

  readonly steps: StepTimes<JoiningStep>;
  readonly #outcomes: Record<GreetingOutcome, number> = { open: 0, refused: 0, abandoned: 0 };
  #isNotable = false;

  constructor(clock: Clock) {
    this.steps = new StepTimes(clock);
  }

  /** A greeting ended, so many milliseconds after it began. */
  greeted(outcome: GreetingOutcome, ms: number): void {
    this.#outcomes[outcome] += 1;
    this.steps.record("greeting", ms);
    if (outcome !== "open" || ms > JoiningStats.slowMs) this.#isNotable = true;
  }

  /** Fields of status: outcomes since the start, and the time of each step. */
  status(): { outcomes: Record<string, number>; steps: Record<string, StepTime> } {
    return { outcomes: { ...this.#outcomes }, steps: this.steps.totals() };
  }

  /** What the log says of the last interval. */
  takeInterval(): { fields: Record<string, string | number>; isNotable: boolean } {
    const isNotable = this.#isNotable;
    this.#isNotable = false;
    return { fields: { ...this.#outcomes, ...this.steps.takeInterval() }, isNotable };
  }
}
