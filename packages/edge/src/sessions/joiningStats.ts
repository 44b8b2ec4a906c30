import type { Clock } from "@cranetrack/core/runtime/clock.js";
import { StepTimes, type StepTime } from "@cranetrack/core/runtime/stepTimes.js";

/** The steps by which a client connects and subscribes, in their order. */
export type JoiningStep =
  /** Waiting until the node holds its lease and is in contact with the store, and admits the connection. */
  | "admission"
  /** Claiming the owner key, or learning which node owns it. */
  | "claim"
  /** Fetching the session's state from the old owner, which stops serving it. */
  | "pull"
  /** The whole of a connection request, up to its answer. */
  | "greeting"
  /** From a subscribe request to the answer where its topics start. */
  | "starts";

/** The outcome of a connection request; `abandoned`: the client disconnected before the answer. */
export type GreetingOutcome = "open" | "refused" | "abandoned";

/** Counts the outcomes of connection requests at this edge, and measures how long the steps take. */
export class JoiningStats {
  /** Milliseconds above which a connection request is notable enough to be logged. */
  static readonly slowGreetingMs = 1000;

  readonly steps: StepTimes<JoiningStep>;
  readonly #outcomes: Record<GreetingOutcome, number> = { open: 0, refused: 0, abandoned: 0 };
  #isNotable = false;

  constructor(clock: Clock) {
    this.steps = new StepTimes(clock);
  }

  /** Records the end of a connection request that took `ms` milliseconds. */
  recordGreeting(outcome: GreetingOutcome, ms: number): void {
    this.#outcomes[outcome] += 1;
    this.steps.record("greeting", ms);
    if (outcome !== "open" || ms > JoiningStats.slowGreetingMs) this.#isNotable = true;
  }

  /** Fields of the node's status: outcomes since the process started, and the time spent in each step. */
  status(): { outcomes: Record<string, number>; steps: Record<string, StepTime> } {
    return { outcomes: { ...this.#outcomes }, steps: this.steps.totals() };
  }

  /** Fields for the log, with the step times of the interval since the last call; starts a new interval. */
  takeInterval(): { fields: Record<string, string | number>; isNotable: boolean } {
    const isNotable = this.#isNotable;
    this.#isNotable = false;
    return { fields: { ...this.#outcomes, ...this.steps.takeInterval() }, isNotable };
  }
}
