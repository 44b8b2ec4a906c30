/**
 * Checks whether a history of concurrent operations is linearizable: whether each operation can be assigned one moment
 * between its call and its return such that, executed in the order of these moments, the sequential model produces the
 * observed outputs. This is the algorithm of Wing and Gong (1993) with Lowe's cache of visited configurations (2017).
 */

/** One operation of a history. Times are of one clock, in any unit. */
export interface Operation<Input, Output> {
  calledAt: number;
  /**
   * When its output was observed. Infinity if the outcome is unknown: the operation may take effect at any later
   * moment, or never.
   */
  returnedAt: number;
  input: Input;
  /** Undefined if the outcome is unknown. */
  output: Output | undefined;
}

/** Sequential specification of the object under test. States are immutable values. */
export interface SequentialModel<State, Input, Output> {
  initial: State;
  /**
   * The state after the operation; undefined if the operation can't have this output in this state. If the output is
   * unknown: the state after the operation took effect.
   */
  step(state: State, input: Input, output: Output | undefined): State | undefined;
  /** A text that is equal for equal states and different for different ones. */
  keyOf(state: State): string;
}

/** Result of a check. */
export type LinearizabilityVerdict<Input, Output> =
  /** An order that explains all outputs; operations of unknown outcome that it does not need are left out. */
  | { kind: "linearizable"; order: Array<Operation<Input, Output>> }
  /** The length of the longest order found, and the operations of which none can follow it. */
  | { kind: "violation"; explained: number; stuckAt: Array<Operation<Input, Output>> }
  /** The search was given up after it had visited this many configurations. */
  | { kind: "undecided"; visited: number };

/** Configurations after which a search is given up as undecided; a million take some seconds. */
const maxConfigurations = 1_000_000;

/** One level of the depth-first search. */
interface Frame<State> {
  state: State;
  /** Indexes of the operations that may come next. */
  candidates: number[];
  /** Position in `candidates` of the next one to try. */
  next: number;
  /** Index of the operation that led to this state; -1 for the initial state. */
  taken: number;
}

/** Searches for an order of the operations that explains the history. */
export function checkLinearizability<State, Input, Output>(
  model: SequentialModel<State, Input, Output>,
  history: ReadonlyArray<Operation<Input, Output>>,
): LinearizabilityVerdict<Input, Output> {
  return new Search(model, history).run();
}

/** Depth-first search with backtracking. */
class Search<State, Input, Output> {
  readonly #model: SequentialModel<State, Input, Output>;
  readonly #operations: Array<Operation<Input, Output>>;
  readonly #isTaken: boolean[];
  readonly #visited = new Set<string>();
  readonly #frames: Array<Frame<State>> = [];
  /** Number of operations with a known output that are not yet in the order. */
  #expectedCount: number;
  #best: { explained: number; stuckAt: number[] } = { explained: -1, stuckAt: [] };

  constructor(model: SequentialModel<State, Input, Output>, history: ReadonlyArray<Operation<Input, Output>>) {
    this.#model = model;
    this.#operations = history.toSorted((a, b) => a.returnedAt - b.returnedAt || a.calledAt - b.calledAt);
    this.#isTaken = this.#operations.map(() => false);
    this.#expectedCount = this.#operations.filter((operation) => operation.output !== undefined).length;
  }

  run(): LinearizabilityVerdict<Input, Output> {
    this.#pushFrame(this.#model.initial, -1);
    while (this.#frames.length > 0) {
      if (this.#expectedCount === 0) return { kind: "linearizable", order: this.#order() };
      if (this.#visited.size > maxConfigurations) return { kind: "undecided", visited: this.#visited.size };
      this.#advance(this.#frames.at(-1)!);
    }
    const { explained, stuckAt } = this.#best;
    return { kind: "violation", explained, stuckAt: stuckAt.map((index) => this.#operations[index]!) };
  }

  /** Tries the frame's next candidate, or backtracks if none is left. */
  #advance(frame: Frame<State>): void {
    const index = frame.candidates[frame.next];
    if (index === undefined) return this.#backtrack();
    frame.next += 1;
    const { input, output } = this.#operations[index]!;
    const state = this.#model.step(frame.state, input, output);
    if (state === undefined) return;
    // An operation of unknown outcome that leaves the state unchanged explains nothing, so it is left out.
    if (output === undefined && this.#model.keyOf(state) === this.#model.keyOf(frame.state)) return;
    this.#isTaken[index] = true;
    if (output !== undefined) this.#expectedCount -= 1;
    if (this.#wasVisited(state)) this.#undo(index);
    else this.#pushFrame(state, index);
  }

  #pushFrame(state: State, taken: number): void {
    const candidates = this.#candidates();
    this.#frames.push({ state, candidates, next: 0, taken });
    const explained = this.#frames.length - 1;
    if (explained > this.#best.explained) this.#best = { explained, stuckAt: candidates };
  }

  #backtrack(): void {
    const { taken } = this.#frames.pop()!;
    if (taken >= 0) this.#undo(taken);
  }

  #undo(index: number): void {
    this.#isTaken[index] = false;
    if (this.#operations[index]!.output !== undefined) this.#expectedCount += 1;
  }

  /**
   * Operations that are not in the order and were called no later than the first return among these, in the order of
   * their returns: operations of unknown outcome come last.
   */
  #candidates(): number[] {
    const remaining = this.#operations.map((_, index) => index).filter((index) => !this.#isTaken[index]);
    const firstReturn = remaining.reduce(
      (least, index) => Math.min(least, this.#operations[index]!.returnedAt),
      Infinity,
    );
    return remaining.filter((index) => this.#operations[index]!.calledAt <= firstReturn);
  }

  #wasVisited(state: State): boolean {
    const key = `${this.#isTaken.map((isTaken) => (isTaken ? 1 : 0)).join("")} ${this.#model.keyOf(state)}`;
    if (this.#visited.has(key)) return true;
    this.#visited.add(key);
    return false;
  }

  #order(): Array<Operation<Input, Output>> {
    return this.#frames.slice(1).map(({ taken }) => this.#operations[taken]!);
  }
}
