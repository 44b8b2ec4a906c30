import fc from "fast-check";
import { actionKinds, actionText, type Action } from "./action.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Recovery } from "./recovery.js";
import { Violation } from "./violation.js";

/** Actions and the violation they lead to. */
export interface FoundTrace {
  readonly violation: Violation;
  readonly trace: readonly Action[];
}

/** Plays, shrinks and prints lists of actions. */
export const Trace = {
  /** Performs a list of actions and then the recovery; the violation, if any, and the actions actually performed. */
  async play(settings: WorldSettings, actions: readonly Action[]): Promise<FoundTrace | undefined> {
    const world = await ModelWorld.start(settings);
    let trace: readonly Action[] | undefined;
    try {
      for (const action of actions) await world.perform(action);
      trace = [...world.performed];
      if (settings.ignored?.includes("all catch up") !== true) await Recovery.run(world);
      return undefined;
    } catch (cause) {
      const violation = cause instanceof Violation ? cause : new Violation("no fault thrown", String(cause));
      return { violation, trace: trace ?? [...world.performed] };
    }
  },

  /**
   * Shrinks a failing list with fast-check, for at most `maxMs` milliseconds, to a shorter one that violates the same
   * property. Undefined if the list violates nothing.
   */
  async shrink(settings: WorldSettings, actions: readonly Action[], maxMs: number): Promise<FoundTrace | undefined> {
    let found = await Trace.play(settings, actions);
    const property = found?.violation.property;
    if (found === undefined) return undefined;
    const machine = fc.nat(settings.machines - 1);
    const action = fc.record({
      kind: fc.constantFrom(...actionKinds),
      member: machine,
      other: machine,
      nth: fc.nat(8),
    });
    const broken = fc.asyncProperty(fc.array(action, { maxLength: actions.length }), async (list) => {
      const played = await Trace.play(settings, list);
      if (played === undefined || played.violation.property !== property) return;
      if (played.trace.length < found!.trace.length) found = played;
      throw played.violation;
    });
    await fc.check(broken, { examples: [[[...found.trace]]], numRuns: 1, interruptAfterTimeLimit: maxMs });
    return found;
  },

  /** Source text of a test that plays the trace. */
  testSource(settings: WorldSettings, { violation, trace }: FoundTrace): string {
    const steps = trace.map((action) => `    ${actionText(action)},\n`).join("");
    return (
      `test("${violation.property}: say what happens here", async () => {\n` +
      `  const settings = ${JSON.stringify(settings)};\n` +
      `  const actions = [\n${steps}  ];\n` +
      `  expect((await Trace.play(settings, actions))?.violation.message).toEqual(undefined);\n` +
      `});\n`
    );
  },
};
