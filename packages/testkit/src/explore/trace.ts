import fc from "fast-check";
import { actionKinds, actionText, type Action } from "./action.js";
import { ModelWorld, type WorldSettings } from "./modelWorld.js";
import { Recovery } from "./recovery.js";
import { Violation } from "./violation.js";

/** Actions, and the property that they break. */
export interface FoundTrace {
  readonly violation: Violation;
  readonly trace: readonly Action[];
}

/** Actions that lead to a violation. */
export const Trace = {
  /** What a list of actions breaks, or the end of all troubles after it; and those of them that were taken. */
  async play(settings: WorldSettings, actions: readonly Action[]): Promise<FoundTrace | undefined> {
    const world = await ModelWorld.start(settings);
    let trace: readonly Action[] | undefined;
    try {
      for (const action of actions) await world.take(action);
      trace = [...world.taken];
      if (settings.ignored?.includes("all catch up") !== true) await Recovery.run(world);
      return undefined;
    } catch (cause) {
      const violation = cause instanceof Violation ? cause : new Violation("no fault thrown", String(cause));
      return { violation, trace: trace ?? [...world.taken] };
    }
  },

  /** A shorter list that breaks the same property, found by fast-check within so many milliseconds. */
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

  /** A test that plays a list of actions. */
  test(settings: WorldSettings, { violation, trace }: FoundTrace): string {
    const steps = trace.map((one) => `    ${actionText(one)},\n`).join("");
    return (
      `test("${violation.property}: say what happens here", async () => {\n` +
      `  const settings = ${JSON.stringify(settings)};\n` +
      `  const actions = [\n${steps}  ];\n` +
      `  expect((await Trace.play(settings, actions))?.violation.message).toEqual(undefined);\n` +
      `});\n`
    );
  },
};
