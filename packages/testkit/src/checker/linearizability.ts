/**
 * Whether a history of concurrent operations is linearizable: whether each operation can be given one moment between
 * its call and its return such that, in the order of these moments, the sequential model gives the outputs that were
 * seen. The search is that of Wing and Gong (1993), with Lowe's memory of configurations met before (2017).
 */

export interface Operation<Input, Output> {
  /** When it was called, and when its output was seen, on one clock. */
  calledAt: number;
  /** Infinity where the outcome stayed unknown: it may take effect at any later moment, or never. */
  returnedAt: number;
  input: Input;
  /** Undefined where it is unknown. */
  output: Output | undefined;
}

/** The sequential object. States are immutable values. */
export interface SequentialModel<State, Input, Output> {
  initial: State;
  /**
   * The state after the operation; undefined where it cannot have this output here. Without an output: the state
   * after it took effect.
   */
  step(state: State, input: Input, output: Output | undefined): State | undefined;
  /** Equal for equal states only. */
  keyOf(state: State): string;
}

export type LinearizabilityVerdict<Input, Output> =
  /** One order that explains all outputs, without unknown operations that need not have taken effect. */
  | { kind: "linearizable"; order: Array<Operation<Input, Output>> }
  /** The longest explained prefix, and the operations of which one would have to come next. */
  | { kind: "violation"; explained: number; stuckAt: Array<Operation<Input, Output>> }
  | { kind: "undecided"; visited: number };

/** Beyond so many configurations a search is given up as undecided; a million take some seconds. */
const maxConfigurations = 1_000_000;

interface Frame<State> {
  state: State;
  /** Operations that may come next, by index, and the next of them to be tried. */
  candidates: number[];
  next: number;
  /** The operation that led here; -1 at the start. */
  taken: number;
}

export function checkLinearizability<State, Input, Output>(
  model: SequentialModel<State, Input, Output>,
  history: ReadonlyArray<Operation<Input, Output>>,
): LinearizabilityVerdict<Input, Output> {
  return new Search(model, history).run();
}

class Search<State, Input, Output> {
  readonly #model: SequentialModel<State, Input, Output>;
  readonly #operations: Array<Operation<Input, Output>>;
  readonly #isTaken: boolean[];
  readonly #met = new Set<string>();
  readonly #frames: Array<Frame<State>> = [];
  /** Operations with an output that are not yet in the order. */
  #expectedCount: number;
  #best: { explained: number; stuckAt: number[] } = { explained: -1, stuckAt: [] };

  constructor(model: SequentialModel<State, Input, Output>, history: ReadonlyArray<Operation<Input, Output>>) {
    this.#model = model;
    this.#operations = history.toSorted((a, b) => a.returnedAt - b.returnedAt || a.calledAt - b.calledAt);
    this.#isTaken = this.#operations.map(() => false);
    this.#expectedCount = this.#operations.filter((one) => one.output !== undefined).length;
  }

  run(): LinearizabilityVerdict<Input, Output> {
    this.#enter(this.#model.initial, -1);
    while (this.#frames.length > 0) {
      if (this.#expectedCount === 0) return { kind: "linearizable", order: this.#order() };
      if (this.#met.size > maxConfigurations) return { kind: "undecided", visited: this.#met.size };
      this.#advance(this.#frames.at(-1)!);
    }
    const { explained, stuckAt } = this.#best;
    return { kind: "violation", explained, stuckAt: stuckAt.map((index) => this.#operations[index]!) };
  }

  /** Tries the frame's next candidate, or goes back where there is none left. */
  #advance(frame: Frame<State>): void {
    const index = frame.candidates[frame.next];
    if (index === undefined) return this.#leave();
    frame.next += 1;
    const { input, output } = this.#operations[index]!;
    const state = this.#model.step(frame.state, input, output);
    if (state === undefined) return;
    // Without an output and without an effect it explains nothing.
    if (output === undefined && this.#model.keyOf(state) === this.#model.keyOf(frame.state)) return;
    this.#isTaken[index] = true;
    if (output !== undefined) this.#expectedCount -= 1;
    if (this.#isMet(state)) this.#untake(index);
    else this.#enter(state, index);
  }

  #enter(state: State, taken: number): void {
    const candidates = this.#candidates();
    this.#frames.push({ state, candidates, next: 0, taken });
    const explained = this.#frames.length - 1;
    if (explained > this.#best.explained) this.#best = { explained, stuckAt: candidates };
  }

  #leave(): void {
    const { taken } = this.#frames.pop()!;
    if (taken >= 0) this.#untake(taken);
  }

  #untake(index: number): void {
    this.#isTaken[index] = false;
    if (this.#operations[index]!.output !== undefined) this.#expectedCount += 1;
  }

  /** What was called before the first return among those that are not in the order; such with an output first. */
  #candidates(): number[] {
    const open = this.#operations.map((_, index) => index).filter((index) => !this.#isTaken[index]);
    const first = open.reduce((least, index) => Math.min(least, this.#operations[index]!.returnedAt), Infinity);
    return open.filter((index) => this.#operations[index]!.calledAt <= first);
  }

  #isMet(state: State): boolean {
    const key = `${this.#isTaken.map((one) => (one ? 1 : 0)).join("")} ${this.#model.keyOf(state)}`;
    if (this.#met.has(key)) return true;
    this.#met.add(key);
    return false;
  }

  #order(): Array<Operation<Input, Output>> {
    return this.#frames.slice(1).map(({ taken }) => this.#operations[taken]!);
  }
}
