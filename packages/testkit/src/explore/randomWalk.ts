import fc from "fast-check";
import type { Action, ActionKind } from "./action.js";
import { Choices } from "./choices.js";
import { Coverage } from "./coverage.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Recovery } from "./recovery.js";
import { Trace } from "./trace.js";
import { Violation } from "./violation.js";
import { profiles, type Weights } from "./profiles.js";

export interface WalkSettings {
  readonly world: WorldSettings;
  /** Names of profiles; each walk goes by one of them. */
  readonly profiles: readonly string[];
  readonly seed: number;
  readonly walks: number;
  /** How many actions are drawn for a walk; what means nothing in the state it comes to is passed over. */
  readonly steps: number;
  /** How long a walk that fails may be shrunk. */
  readonly shrinkMs: number;
}

/** What the walks covered, and a violation shrunk to few actions. */
export interface WalkReport {
  readonly walks: number;
  readonly states: number;
  readonly longest: number;
  readonly ms: number;
  readonly coverage: Coverage;
  readonly violation: Violation | undefined;
  /** Shrunk: the actions that lead to the violation. */
  readonly trace: readonly Action[];
}

interface Drawn {
  kind: ActionKind;
  number: number;
}

/** Seeded random walks, drawn by fast-check; one that breaks a property is shrunk by it. */
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
    const property = fc.asyncProperty(this.#drawn(), (drawn) => this.#walk(drawn));
    // Shrunk afterwards, as the actions that were taken: what a drawn number stands for depends on those before it.
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

  async #walk(drawn: readonly Drawn[]): Promise<void> {
    const world = await ModelWorld.start(this.#settings.world, this.#coverage);
    this.#walks += 1;
    let taken: readonly Action[] = [];
    try {
      for (const { kind, number } of drawn) {
        const action = Choices.pick(world, kind, number);
        if (action !== undefined) await world.take(action);
      }
      taken = [...world.taken];
      if (world.settings.ignored?.includes("all catch up") !== true) await Recovery.run(world);
    } catch (cause) {
      this.#failed = taken.length > 0 ? taken : [...world.taken];
      throw cause;
    } finally {
      this.#states += world.taken.length;
      this.#longest = Math.max(this.#longest, world.taken.length);
    }
  }

  #drawn(): fc.Arbitrary<Drawn[]> {
    const { steps } = this.#settings;
    const walks = this.#settings.profiles.map((name) =>
      fc.array(RandomWalk.#one(profiles[name]!), { minLength: steps, maxLength: steps }),
    );
    return fc.oneof(...walks);
  }

  static #one(weights: Weights): fc.Arbitrary<Drawn> {
    const kinds = (Object.entries(weights) as Array<[ActionKind, number]>).map(([kind, weight]) => ({
      weight: Math.round(weight * 10),
      arbitrary: fc.constant(kind),
    }));
    return fc.record({ kind: fc.oneof(...kinds), number: fc.nat(2 ** 20) });
  }
}
