import type { Action, ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import { Coverage } from "./coverage.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Trace } from "./trace.js";
import { Violation } from "./violation.js";

export interface SearchSettings {
  readonly world: WorldSettings;
  /** Leads to the state from which the search starts. */
  readonly prefix: readonly Action[];
  /** How often each kind of action may be taken on one path; a kind that is not named is not taken. */
  readonly limits: Partial<Record<ActionKind, number>>;
  /** How many actions a path may have after the prefix. */
  readonly depth: number;
  /** The search ends, unfinished, after so many states. */
  readonly maxStates: number;
  /** How long a path that fails may be shrunk. */
  readonly shrinkMs: number;
}

/** How far a search came, and the shortest violation it found. */
export interface SearchReport {
  readonly states: number;
  readonly transitions: number;
  /** Paths up to this many actions were all tried, but for those whose state was known. */
  readonly depth: number;
  readonly isWhole: boolean;
  readonly ms: number;
  readonly coverage: Coverage;
  readonly violation: Violation | undefined;
  readonly trace: readonly Action[];
}

/**
 * Bounded exhaustive search, breadth first. Worlds can't be copied, so each path is replayed from the start
 * (stateless search); a state that was reached before, by whichever path, is not gone on from.
 * Two states are the same where each machine's disk, what its process took in since its start, and what is under way
 * are: the code is deterministic, so they go on alike.
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
        if (failed !== undefined) return { ...report(false), ...(await this.#shrunk([...prefix, ...failed])) };
        if (this.#known.size >= maxStates) return report(false);
      }
      level = next;
      reached += 1;
    }
    return report(true);
  }

  /** Tries every action after a path, and adds the paths to states that were not known; the path that failed. */
  async #expand(path: Action[], next: Action[][]): Promise<Action[] | undefined> {
    let world: ModelWorld | undefined = await this.#replay(path);
    const choices = this.#choices(world, path);
    for (const action of choices) {
      world ??= await this.#replay(path);
      const longer = [...path, action];
      try {
        await world.take(action);
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
    const open = limits.filter(([kind, most]) => path.filter((one) => one.kind === kind).length < most);
    return open.flatMap(([kind]) => Choices.of(world, kind));
  }

  /** What may still be done is part of the state. */
  #isNew(world: ModelWorld, path: readonly Action[]): boolean {
    const used = Object.keys(this.#settings.limits)
      .filter((kind) => kind !== "deliver")
      .map((kind) => path.filter((one) => one.kind === kind).length);
    const key = `${world.hash()},${used.join()}`;
    if (this.#known.has(key)) return false;
    this.#known.add(key);
    return true;
  }

  #shrunk(actions: readonly Action[]): ReturnType<typeof Trace.shrink> {
    return Trace.shrink(this.#settings.world, actions, this.#settings.shrinkMs);
  }
}
