/**
 * Remembers which calls a process has started to execute, so that a frame that arrives twice is not executed twice.
 * Invariant: a call id at or below the floor of its caller's window counts as started, whether it was or not, so that
 * forgetting an id never lets the call run again.
 */
export class ServedCalls {
  /** Call ids remembered for each incarnation of a caller; older ones are below the floor. */
  static readonly maxCallIds = 1024;
  /** Incarnations of callers remembered; the one that called longest ago is forgotten first. */
  static readonly maxCallers = 4096;

  readonly #windows = new Map<string, { floor: number; begun: Set<number> }>();

  /** Returns true the first time that it sees a call. A call with an id below the floor counts as seen. */
  begin(from: string, callerIncarnation: number, callId: number): boolean {
    const key = `${callerIncarnation} ${from}`;
    const window = this.#windows.get(key) ?? { floor: 0, begun: new Set<number>() };
    this.#windows.delete(key);
    this.#windows.set(key, window);
    if (this.#windows.size > ServedCalls.maxCallers) this.#windows.delete(this.#windows.keys().next().value!);
    if (callId <= window.floor || window.begun.has(callId)) return false;
    window.begun.add(callId);
    if (window.begun.size > ServedCalls.maxCallIds) ServedCalls.#raiseFloor(window);
    return true;
  }

  /** Forgets the lower half of the ids at once, so that the sort is rarely needed. */
  static #raiseFloor(window: { floor: number; begun: Set<number> }): void {
    const ids = [...window.begun].sort((a, b) => a - b);
    const kept = ids.splice(ids.length >> 1);
    window.floor = ids.at(-1)!;
    window.begun = new Set(kept);
  }
}
