import * as v from "valibot";
import { Plans, type PlanFault, type PlanRead, type Space } from "./configuration.js";
import { PlanReader } from "./configurationReader.js";

/** Versions are exact in a double. */
const maxMark = Number.MAX_SAFE_INTEGER;
/** Ten years. */
const maxRetentionSeconds = 315_360_000;
const maxPayloadBytes = 262_144;

const wholeNumber = (least: number, most: number) =>
  v.pipe(v.number(), v.integer(), v.minValue(least), v.maxValue(most));
const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

const owe = v.strictObject({
  keep: v.pipe(v.number(), v.finite(), v.minValue(0), v.maxValue(maxRetentionSeconds)),
  order: v.picklist(["sender", "topic", "space", "one"]),
  fault_budget: v.strictObject({
    machines: v.optional(wholeNumber(0, 2)),
    zones: v.optional(wholeNumber(0, 1)),
  }),
  publishers: v.optional(v.pipe(v.array(v.string()), v.maxLength(1000))),
  maxBytes: v.optional(wholeNumber(1, maxPayloadBytes)),
});

const when = v.strictObject({ topic: v.optional(shortText), topicPrefix: v.optional(shortText) });

const space = v.strictObject({
  name: v.pipe(v.string(), v.regex(/^[A-Za-z0-9._-]{1,64}$/)),
  prefix: v.optional(v.pipe(v.string(), v.regex(/^[\x21-\x7e]{0,200}$/))),
  deadlineMs: v.optional(wholeNumber(1, 600_000)),
  program: v.pipe(v.array(v.strictObject({ when, owe })), v.minLength(1), v.maxLength(64)),
});

const planType = v.strictObject({
  mark: wholeNumber(1, maxMark),
  spaces: v.pipe(v.array(space), v.maxLength(Plans.maxSpaces)),
  limits: v.optional(
    v.strictObject({
      subscriptions: v.optional(wholeNumber(0, 100_000)),
      payloadBytes: v.optional(wholeNumber(1, maxPayloadBytes)),
    }),
  ),
});

/**
 * The whole check of an operator's plan: every problem with its path. Its library is one that is loaded in
 * milliseconds, for a control node stands still meanwhile.
 */
export const PlanSchema = {
  read(value: unknown): PlanRead {
    const checked = v.safeParse(planType, value);
    if (!checked.success) return { faults: checked.issues.map(faultOf) };
    // The schema takes a list for an object; no node could read that plan.
    const read = PlanReader.read(value);
    if ("faults" in read) return read;
    const { plan } = read;
    const faults = [...sameSpaces(plan.spaces), ...plan.spaces.flatMap(mixedRules)];
    return faults.length > 0 ? { faults } : { plan };
  },

  /** Whatever the text is. */
  parse(text: string): PlanRead {
    try {
      return PlanSchema.read(JSON.parse(text));
    } catch (cause) {
      return { faults: [{ path: "", problem: `is not JSON: ${(cause as Error).message}` }] };
    }
  },
};

function faultOf(issue: v.BaseIssue<unknown>): PlanFault {
  return { path: v.getDotPath(issue) ?? "", problem: issue.message };
}

function sameSpaces(spaces: readonly Space[]): PlanFault[] {
  const faults: PlanFault[] = [];
  const names = new Set<string>();
  const prefixes = new Set<string>();
  spaces.forEach((space, i) => {
    const prefix = Plans.prefixOf(space);
    if (names.has(space.name))
      faults.push({ path: `spaces.${i}.name`, problem: `a second space is called ${space.name}` });
    else if (prefixes.has(prefix))
      faults.push({ path: `spaces.${i}.prefix`, problem: `a second space has the prefix ${prefix}` });
    names.add(space.name);
    prefixes.add(prefix);
  });
  return faults;
}

/** A space is one stream or a stream a topic; and one stream is kept or not as a whole. */
function mixedRules({ program }: Space, i: number): PlanFault[] {
  const first = program[0]!.owe;
  const isWhole = first.order === "space";
  return program.flatMap(({ owe: { order, keep } }, j) => {
    const path = `spaces.${i}.program.${j}.owe`;
    if ((order === "space") !== isWhole)
      return [
        {
          path: `${path}.order`,
          problem: `must be ${first.order}, as in the space's first rule: a space has one order`,
        },
      ];
    if (isWhole && (keep === 0) !== (first.keep === 0))
      return [{ path: `${path}.keep`, problem: "a space of order space keeps under all its rules, or under none" }];
    return [];
  });
}
