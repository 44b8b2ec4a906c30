/**
 * Which calls a process has begun to carry out, so that a frame which arrives twice does not run twice.
 * Invariant: a number at or below its window's floor counts as begun, whether it was or not: forgetting a number
 * never lets it run again.
 */
export class ServedCalls {
  /** Numbers remembered for each incarnation of a caller; older ones are below the floor. */
  static readonly maxNumbers = 1024;
  /** Lives remembered; the one that called longest ago is forgotten first. */
  static readonly maxIncarnations = 4096;

  readonly #callers = new Map<string, { floor: number; begun: Set<number> }>();

  /** True the first time that a call is seen; what comes too late to be told apart counts as seen. */
  begin(from: string, callerIncarnation: number, number: number): boolean {
    const key = `${callerIncarnation} ${from}`;
    const incarnation = this.#callers.get(key) ?? { floor: 0, begun: new Set<number>() };
    this.#callers.delete(key);
    this.#callers.set(key, incarnation);
    if (this.#callers.size > ServedCalls.maxIncarnations) this.#callers.delete(this.#callers.keys().next().value!);
    if (number <= incarnation.floor || incarnation.begun.has(number)) return false;
    incarnation.begun.add(number);
    if (incarnation.begun.size > ServedCalls.maxNumbers) ServedCalls.#raiseFloor(incarnation);
    return true;
  }

  /** The lower half goes below the floor, so that this is done seldom. */
  static #raiseFloor(incarnation: { floor: number; begun: Set<number> }): void {
    const numbers = [...incarnation.begun].sort((a, b) => a - b);
    const kept = numbers.splice(numbers.length >> 1);
    incarnation.floor = numbers.at(-1)!;
    incarnation.begun = new Set(kept);
  }
}
