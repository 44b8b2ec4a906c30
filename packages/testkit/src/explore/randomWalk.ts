import fc from "fast-check";
import type { Action, ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import { Coverage } from "./coverage.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Recovery } from "./recovery.js";
import { Trace } from "./trace.js";
import { Violation } from "./violation.js";
import { profiles, type Weights } from "./profiles.js";

/** Settings of a run of random walks. */
export interface WalkSettings {
  readonly world: WorldSettings;
  /** Names of profiles; each walk uses one of them. */
  readonly profiles: readonly string[];
  readonly seed: number;
  readonly walks: number;
  /** Number of actions drawn for a walk; those that are not possible in the state they meet are skipped. */
  readonly steps: number;
  /** How long a failing walk may be shrunk, in milliseconds. */
  readonly shrinkMs: number;
}

/** What the walks covered, and the violation found, if any. */
export interface WalkReport {
  readonly walks: number;
  readonly states: number;
  /** Most actions performed in one walk. */
  readonly longest: number;
  readonly ms: number;
  readonly coverage: Coverage;
  readonly violation: Violation | undefined;
  /** The shrunk list of actions that lead to the violation. */
  readonly trace: readonly Action[];
}

/** A drawn kind of action, and the random number that selects one of the possible actions of this kind. */
interface DrawnAction {
  kind: ActionKind;
  number: number;
}

/** Seeded random walks drawn by fast-check, which also shrinks a walk that violates a property. */
export class RandomWalk {
  readonly #settings: WalkSettings;
  readonly #coverage = new Coverage();
  #states = 0;
  #longest = 0;
  #walks = 0;
  #failed: readonly Action[] | undefined;

  constructor(settings: WalkSettings) {
    this.#settings = settings;
  }

  async run(): Promise<WalkReport> {
    const startedAt = performance.now();
    const { seed, walks, world, shrinkMs } = this.#settings;
    const property = fc.asyncProperty(this.#drawnWalks(), (drawn) => this.#walk(drawn));
    // Shrunk afterwards, as a list of performed actions: what a drawn number selects depends on the actions before it.
    await fc.check(property, { seed, numRuns: walks, endOnFailure: true });
    const ms = performance.now() - startedAt;
    const found = this.#failed === undefined ? undefined : await Trace.shrink(world, this.#failed, shrinkMs);
    return {
      walks: this.#walks,
      states: this.#states,
      longest: this.#longest,
      ms,
      coverage: this.#coverage,
      violation: found?.violation,
      trace: found?.trace ?? [],
    };
  }

  async #walk(drawn: readonly DrawnAction[]): Promise<void> {
    const world = await ModelWorld.start(this.#settings.world, this.#coverage);
    this.#walks += 1;
    let performed: readonly Action[] = [];
    try {
      for (const { kind, number } of drawn) {
        const action = Choices.pick(world, kind, number);
        if (action !== undefined) await world.perform(action);
      }
      performed = [...world.performed];
      if (world.settings.ignored?.includes("all catch up") !== true) await Recovery.run(world);
    } catch (cause) {
      this.#failed = performed.length > 0 ? performed : [...world.performed];
      throw cause;
    } finally {
      this.#states += world.performed.length;
      this.#longest = Math.max(this.#longest, world.performed.length);
    }
  }

  #drawnWalks(): fc.Arbitrary<DrawnAction[]> {
    const { steps } = this.#settings;
    const walks = this.#settings.profiles.map((name) =>
      fc.array(RandomWalk.#drawnAction(profiles[name]!), { minLength: steps, maxLength: steps }),
    );
    return fc.oneof(...walks);
  }

  static #drawnAction(weights: Weights): fc.Arbitrary<DrawnAction> {
    const kinds = (Object.entries(weights) as Array<[ActionKind, number]>).map(([kind, weight]) => ({
      weight: Math.round(weight * 10),
      arbitrary: fc.constant(kind),
    }));
    return fc.record({ kind: fc.oneof(...kinds), number: fc.nat(2 ** 20) });
  }
}
