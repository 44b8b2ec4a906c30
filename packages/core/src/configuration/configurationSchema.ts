import * as v from "valibot";
import { Configurations, type ConfigurationFault, type ConfigurationRead, type Space } from "./configuration.js";
import { documentFields } from "./configurationDocument.js";
import { ConfigurationReader } from "./configurationReader.js";

/** Up to here versions are exact in a double. */
const maxVersion = Number.MAX_SAFE_INTEGER;
/** Ten years. */
const maxRetentionSeconds = 315_360_000;
const maxPayloadBytes = 262_144;

const wholeNumber = (min: number, max: number) => v.pipe(v.number(), v.integer(), v.minValue(min), v.maxValue(max));
const shortText = v.pipe(v.string(), v.minLength(1), v.maxLength(200));

const contract = v.strictObject({
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
  program: v.pipe(
    v.array(v.strictObject({ when, [documentFields.contract]: contract })),
    v.minLength(1),
    v.maxLength(64),
  ),
});

const configurationType = v.strictObject({
  [documentFields.version]: wholeNumber(1, maxVersion),
  spaces: v.pipe(v.array(space), v.maxLength(Configurations.maxSpaces)),
  limits: v.optional(
    v.strictObject({
      subscriptions: v.optional(wholeNumber(0, 100_000)),
      payloadBytes: v.optional(wholeNumber(1, maxPayloadBytes)),
    }),
  ),
});

/**
 * The full check of an operator's configuration, which reports every problem with its path. The library was chosen
 * because it loads within milliseconds: a control node is blocked meanwhile.
 */
export const ConfigurationSchema = {
  read(value: unknown): ConfigurationRead {
    const checked = v.safeParse(configurationType, value);
    if (!checked.success) return { faults: checked.issues.map(faultOf) };
    // The schema accepts an array as an object; no node could read such a configuration.
    const read = ConfigurationReader.read(value);
    if ("faults" in read) return read;
    const { configuration } = read;
    const faults = [...duplicateSpaces(configuration.spaces), ...configuration.spaces.flatMap(conflictingRules)];
    return faults.length > 0 ? { faults } : { configuration };
  },

  /** Checks any text; text that is not JSON is a fault. */
  parse(text: string): ConfigurationRead {
    try {
      return ConfigurationSchema.read(JSON.parse(text));
    } catch (cause) {
      return { faults: [{ path: "", problem: `is not JSON: ${(cause as Error).message}` }] };
    }
  },
};

function faultOf(issue: v.BaseIssue<unknown>): ConfigurationFault {
  return { path: v.getDotPath(issue) ?? "", problem: issue.message };
}

function duplicateSpaces(spaces: readonly Space[]): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const names = new Set<string>();
  const prefixes = new Set<string>();
  spaces.forEach((space, i) => {
    const prefix = Configurations.prefixOf(space);
    if (names.has(space.name))
      faults.push({ path: `spaces.${i}.name`, problem: `another space already has the name ${space.name}` });
    else if (prefixes.has(prefix))
      faults.push({ path: `spaces.${i}.prefix`, problem: `another space already has the prefix ${prefix}` });
    names.add(space.name);
    prefixes.add(prefix);
  });
  return faults;
}

/** A space is either one stream or one stream for each topic; and a stream is kept or not as a whole. */
function conflictingRules({ program }: Space, i: number): ConfigurationFault[] {
  const first = program[0]!.contract;
  const isOneStream = first.order === "space";
  return program.flatMap(({ contract: { order, keep } }, j) => {
    const path = `spaces.${i}.program.${j}.${documentFields.contract}`;
    if ((order === "space") !== isOneStream)
      return [
        {
          path: `${path}.order`,
          problem: `must be ${first.order}, as in the space's first rule: a space has one order`,
        },
      ];
    if (isOneStream && (keep === 0) !== (first.keep === 0))
      return [
        {
          path: `${path}.keep`,
          problem: "a space of order space must keep messages under all of its rules or under none",
        },
      ];
    return [];
  });
}
