import type { Action, ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import { Coverage } from "./coverage.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Trace } from "./trace.js";
import { Violation } from "./violation.js";

/** Start state and bounds of a search. */
export interface SearchSettings {
  readonly world: WorldSettings;
  /** Actions that lead to the state from which the search starts. */
  readonly prefix: readonly Action[];
  /** How often each kind of action may be performed on one path; a kind that is not named is never performed. */
  readonly limits: Partial<Record<ActionKind, number>>;
  /** Most actions of a path after the prefix. */
  readonly depth: number;
  /** Number of states after which the search stops unfinished. */
  readonly maxStates: number;
  /** How long a failing path may be shrunk, in milliseconds. */
  readonly shrinkMs: number;
}

/** The extent of a search, and the violation it found, shrunk. */
export interface SearchReport {
  readonly states: number;
  readonly transitions: number;
  /** All paths of up to this many actions were explored, except continuations of known states. */
  readonly depth: number;
  /** The search reached its depth, or ran out of new states, within `maxStates` and without a violation. */
  readonly isWhole: boolean;
  readonly ms: number;
  readonly coverage: Coverage;
  readonly violation: Violation | undefined;
  readonly trace: readonly Action[];
}

/**
 * Bounded exhaustive search, breadth first. Worlds can't be copied, so each path is replayed from the start
 * (stateless search); a state that was reached before, by any path, is not expanded again.
 * Two states are the same if the disk of each machine, the inputs of its process since its start, and the frames in
 * flight are the same: the code is deterministic, so they behave alike.
 */
export class ExhaustiveSearch {
  readonly #settings: SearchSettings;
  readonly #coverage = new Coverage();
  readonly #known = new Set<string>();
  #transitions = 0;

  constructor(settings: SearchSettings) {
    this.#settings = settings;
  }

  async run(): Promise<SearchReport> {
    const startedAt = performance.now();
    const { depth, maxStates, prefix } = this.#settings;
    let level: Action[][] = [[]];
    let reached = 0;
    const report = (isWhole: boolean): SearchReport => ({
      states: this.#known.size,
      transitions: this.#transitions,
      depth: reached,
      isWhole,
      ms: performance.now() - startedAt,
      coverage: this.#coverage,
      violation: undefined,
      trace: [],
    });
    while (level.length > 0 && reached < depth) {
      const next: Action[][] = [];
      for (const path of level) {
        const failed = await this.#expand(path, next);
        if (failed !== undefined) return { ...report(false), ...(await this.#shrink([...prefix, ...failed])) };
        if (this.#known.size >= maxStates) return report(false);
      }
      level = next;
      reached += 1;
    }
    return report(true);
  }

  /** Tries every action after a path and adds the paths that lead to new states to `next`; returns a failing path. */
  async #expand(path: Action[], next: Action[][]): Promise<Action[] | undefined> {
    let world: ModelWorld | undefined = await this.#replay(path);
    const choices = this.#choices(world, path);
    for (const action of choices) {
      world ??= await this.#replay(path);
      const longer = [...path, action];
      try {
        await world.perform(action);
      } catch (cause) {
        if (!(cause instanceof Violation)) throw cause;
        return longer;
      }
      this.#transitions += 1;
      this.#coverage.count(`action: ${action.kind}`);
      if (this.#isNew(world, longer)) next.push(longer);
      world = undefined;
    }
    return undefined;
  }

  #replay(path: readonly Action[]): Promise<ModelWorld> {
    return ModelWorld.replay(this.#settings.world, [...this.#settings.prefix, ...path]);
  }

  #choices(world: ModelWorld, path: readonly Action[]): Action[] {
    const limits = Object.entries(this.#settings.limits) as Array<[ActionKind, number]>;
    const allowed = limits.filter(([kind, limit]) => path.filter((action) => action.kind === kind).length < limit);
    return allowed.flatMap(([kind]) => Choices.enabled(world, kind));
  }

  /** Whether a state is new. The actions used up are part of it, as they decide which actions may still follow. */
  #isNew(world: ModelWorld, path: readonly Action[]): boolean {
    const used = Object.keys(this.#settings.limits)
      .filter((kind) => kind !== "deliver")
      .map((kind) => path.filter((action) => action.kind === kind).length);
    const key = `${world.hash()},${used.join()}`;
    if (this.#known.has(key)) return false;
    this.#known.add(key);
    return true;
  }

  #shrink(actions: readonly Action[]): ReturnType<typeof Trace.shrink> {
    return Trace.shrink(this.#settings.world, actions, this.#settings.shrinkMs);
  }
}
