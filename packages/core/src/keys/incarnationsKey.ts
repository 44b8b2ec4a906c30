import { PrefixIndex } from "../configuration/prefixIndex.js";
import { JsonValue } from "./jsonValue.js";
import type { ConfigurationOutline, SpaceOutline } from "./configurationKey.js";

/** What the names and incarnations of streams need beside the configuration. */
export interface IncarnationsRecord {
  /** The configuration that this belongs to. */
  readonly version: number;
  /** For each space that is one stream, the version since which it has the topics that it has. */
  readonly spaces: Readonly<Record<string, number>>;
  /** Prefixes within such a space whose topics are not in its stream: they come back where the prefix is removed. */
  readonly nested: readonly string[];
  /**
   * Names of streams that an earlier release made: for each of its spaces the prefix that its topics' streams are named
   * after. Never changes; empty in systems that this release founded.
   */
  readonly roots: Readonly<Record<string, string>>;
}

/** The field of stored records for the configuration's version; older than the term. */
const storedVersion = "mark";

/**
 * The key beside the configuration that says since when each space that is one stream has its topics; written with the
 * configuration, in one step. A topic's own stream needs nothing of it, but for the names that an earlier release gave.
 *
 * A space that is one stream has one sequence over all its topics: topics that come back to it have messages elsewhere,
 * so that no cursor in it is of use any more, and it begins anew.
 */
export const IncarnationsKey = {
  name: "plan/births",
  /**
   * Put beside a configuration by whoever proposes it: the state machine puts the record in its place. Entries without
   * it are of earlier releases, see `EarlierIncarnations`.
   */
  requested: Buffer.from("{}") as Uint8Array,

  write(record: Pick<IncarnationsRecord, "version" | "spaces"> & Partial<IncarnationsRecord>): Uint8Array {
    const { version, spaces, nested = [], roots = {} } = record;
    return JsonValue.write({
      [storedVersion]: version,
      spaces,
      nested,
      ...(Object.keys(roots).length === 0 ? {} : { roots }),
    });
  },

  /** Undefined where the value is no such record. The same value is parsed once: values of the store never change. */
  read(value: Uint8Array): IncarnationsRecord | undefined {
    const known = parsedValues.get(value);
    if (known !== undefined) return known;
    const record = parse(value);
    if (record !== undefined) parsedValues.set(value, record);
    return record;
  },

  /** The incarnations that follow on earlier ones with the next configuration. Deterministic. */
  next(before: IncarnationsRecord | undefined, { version, spaces }: ConfigurationOutline): IncarnationsRecord {
    const index = new PrefixIndex(spaces, ({ prefix }) => prefix);
    const earlier = new Map(Object.entries(before?.spaces ?? {}));
    const removed = [...earlier.keys(), ...(before?.nested ?? [])].filter((prefix) => index.get(prefix) === undefined);
    const enclosing = removed.map((prefix) => index.longest(prefix, prefix.length - 1));
    const extended = new Set(enclosing.map((space) => space?.prefix));
    const whole = spaces.filter(({ isWhole }) => isWhole);
    const since = whole.map(({ prefix }): [string, number] => {
      return [prefix, extended.has(prefix) ? version : (earlier.get(prefix) ?? version)];
    });
    return { version, spaces: Object.fromEntries(since), nested: nestedIn(whole, spaces), roots: before?.roots ?? {} };
  },
};

const parsedValues = new WeakMap<Uint8Array, IncarnationsRecord>();

function parse(value: Uint8Array): IncarnationsRecord | undefined {
  const record = JsonValue.read(value);
  const spaces = JsonValue.numbers(record?.["spaces"]);
  const roots = JsonValue.textTable(record?.["roots"] ?? {});
  const version = record?.[storedVersion];
  const nested = record?.["nested"];
  if (typeof version !== "number" || spaces === undefined || roots === undefined) return undefined;
  if (nested === undefined) return ofEarlierRelease(version, spaces, roots);
  const isGood = Array.isArray(nested) && nested.every((one) => typeof one === "string");
  return isGood ? { version, spaces, nested, roots } : undefined;
}

/**
 * A record of an earlier release, which named streams after spaces: it lists all spaces, and roots for those that
 * inherited their streams.
 */
function ofEarlierRelease(
  version: number,
  spaces: Record<string, number>,
  roots: Record<string, string>,
): IncarnationsRecord {
  const prefixes = Object.keys(spaces);
  const names = prefixes.map((prefix): [string, string] => {
    return [prefix, Object.hasOwn(roots, prefix) ? roots[prefix]! : prefix];
  });
  return { version, spaces, nested: prefixes, roots: Object.fromEntries(names) };
}

/** Prefixes of spaces with a stream for each topic that lie within a space that is one stream. */
function nestedIn(whole: readonly SpaceOutline[], spaces: readonly SpaceOutline[]): string[] {
  if (whole.length === 0) return [];
  const index = new PrefixIndex(whole, ({ prefix }) => prefix);
  return spaces
    .filter(({ prefix, isWhole }) => !isWhole && index.longest(prefix, prefix.length - 1) !== undefined)
    .map(({ prefix }) => prefix);
}
