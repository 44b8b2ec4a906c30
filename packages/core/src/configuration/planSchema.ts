import { type } from "arktype";
import { Plans, type Plan, type PlanFault, type PlanRead, type Space } from "./plan.js";
import { PlanReader } from "./planReader.js";

const owe = type({
  "+": "reject",
  keep: "0 <= number <= 315360000",
  order: "'sender' | 'topic' | 'space' | 'one'",
  fault_budget: type({ "+": "reject", "machines?": "0 <= number.integer <= 2", "zones?": "0 <= number.integer <= 1" }),
  "publishers?": "string[] <= 1000",
  "maxBytes?": "1 <= number.integer <= 262144",
});

const when = type({
  "+": "reject",
  "topic?": "1 <= string <= 200",
  "topicPrefix?": "1 <= string <= 200",
});

const planType = type({
  "+": "reject",
  mark: "1 <= number.integer <= 9007199254740991",
  spaces: type({
    "+": "reject",
    name: "/^[A-Za-z0-9._-]{1,64}$/",
    "prefix?": "/^[\\x21-\\x7e]{0,200}$/",
    "deadlineMs?": "1 <= number.integer <= 600000",
    program: type({ "+": "reject", when, owe }).array().moreThanLength(0).atMostLength(64),
  })
    .array()
    .atMostLength(Plans.mostSpaces),
  "limits?": type({
    "+": "reject",
    "subscriptions?": "0 <= number.integer <= 100000",
    "payloadBytes?": "1 <= number.integer <= 262144",
  }),
});

/** The whole check of an operator's plan. Slow to load: for tools, and imported late where a plan is put. */
export const PlanSchema = {
  read(value: unknown): PlanRead {
    const checked = planType(value);
    if (checked instanceof type.errors) {
      return { faults: [...checked].map((fault) => ({ path: fault.path.join("."), problem: fault.message })) };
    }
    const plan = PlanReader.normalized(checked as Plan);
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
