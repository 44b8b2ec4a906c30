import { PrefixIndex } from "../configuration/prefixIndex.js";
import { JsonValue } from "./jsonValue.js";
import type { ConfigurationOutline, SpaceOutline } from "./configurationKey.js";

/** What the names and incarnations of streams depend on besides the configuration. */
export interface IncarnationsRecord {
  /** The version of the configuration to which the record belongs. */
  readonly version: number;
  /** For each space that is one stream, the version since which it has its present topics. */
  readonly spaces: Readonly<Record<string, number>>;
  /** Prefixes within such a space whose topics are not in its stream; they return to it if the prefix is removed. */
  readonly nested: readonly string[];
  /**
   * For each space that an earlier release created, the prefix after which the streams of its topics are named. Never
   * changes; empty in clusters that were created by this release.
   */
  readonly roots: Readonly<Record<string, string>>;
}

/** The name of the stored field for the configuration's version; it dates from earlier releases and must stay. */
const storedVersionField = "mark";

/**
 * The key that records since which version each space that is one stream has its topics. It is written in the same step
 * as the configuration. Streams of single topics use only the names in it that an earlier release assigned.
 *
 * A space that is one stream has one sequence over all its topics. When topics return to it, their recent messages are
 * in other streams, so existing cursors become invalid and the space starts a new incarnation.
 */
export const IncarnationsKey = {
  name: "plan/births",
  /**
   * The placeholder that a proposal of a configuration contains; the state machine replaces it by the record. Log
   * entries without it were proposed by earlier releases, see `EarlierIncarnations`.
   */
  placeholder: Buffer.from("{}") as Uint8Array,

  /** The stored value of a record. */
  write(record: Pick<IncarnationsRecord, "version" | "spaces"> & Partial<IncarnationsRecord>): Uint8Array {
    const { version, spaces, nested = [], roots = {} } = record;
    return JsonValue.write({
      [storedVersionField]: version,
      spaces,
      nested,
      ...(Object.keys(roots).length === 0 ? {} : { roots }),
    });
  },

  /** The record in a stored value; undefined if it is invalid. Each value is parsed once, as values never change. */
  read(value: Uint8Array): IncarnationsRecord | undefined {
    const cached = parsedValues.get(value);
    if (cached !== undefined) return cached;
    const record = parse(value);
    if (record !== undefined) parsedValues.set(value, record);
    return record;
  },

  /** The record after the next configuration, from the previous record. Deterministic. */
  next(before: IncarnationsRecord | undefined, { version, spaces }: ConfigurationOutline): IncarnationsRecord {
    const index = new PrefixIndex(spaces, ({ prefix }) => prefix);
    const previousVersions = new Map(Object.entries(before?.spaces ?? {}));
    const removed = [...previousVersions.keys(), ...(before?.nested ?? [])].filter(
      (prefix) => index.get(prefix) === undefined,
    );
    const enclosingSpaces = removed.map((prefix) => index.longest(prefix, prefix.length - 1));
    const extendedPrefixes = new Set(enclosingSpaces.map((space) => space?.prefix));
    const singleStreamSpaces = spaces.filter(({ isSingleStream: isWhole }) => isWhole);
    const versions = singleStreamSpaces.map(({ prefix }): [string, number] => {
      return [prefix, extendedPrefixes.has(prefix) ? version : (previousVersions.get(prefix) ?? version)];
    });
    return {
      version,
      spaces: Object.fromEntries(versions),
      nested: nestedPrefixes(singleStreamSpaces, spaces),
      roots: before?.roots ?? {},
    };
  },
};

const parsedValues = new WeakMap<Uint8Array, IncarnationsRecord>();

function parse(value: Uint8Array): IncarnationsRecord | undefined {
  const record = JsonValue.read(value);
  const spaces = JsonValue.numberTable(record?.["spaces"]);
  const roots = JsonValue.stringTable(record?.["roots"] ?? {});
  const version = record?.[storedVersionField];
  const nested = record?.["nested"];
  if (typeof version !== "number" || spaces === undefined || roots === undefined) return undefined;
  if (nested === undefined) return fromEarlierRelease(version, spaces, roots);
  const isValid = Array.isArray(nested) && nested.every((prefix) => typeof prefix === "string");
  return isValid ? { version, spaces, nested, roots } : undefined;
}

/**
 * Converts a record of an earlier release, which named streams after spaces: it lists all spaces, and roots for the
 * spaces that inherited their streams.
 */
function fromEarlierRelease(
  version: number,
  spaces: Record<string, number>,
  roots: Record<string, string>,
): IncarnationsRecord {
  const prefixes = Object.keys(spaces);
  const rootEntries = prefixes.map((prefix): [string, string] => {
    return [prefix, Object.hasOwn(roots, prefix) ? roots[prefix]! : prefix];
  });
  return { version, spaces, nested: prefixes, roots: Object.fromEntries(rootEntries) };
}

/** The prefixes of spaces with one stream per topic that lie within a space that is one stream. */
function nestedPrefixes(singleStreamSpaces: readonly SpaceOutline[], spaces: readonly SpaceOutline[]): string[] {
  if (singleStreamSpaces.length === 0) return [];
  const index = new PrefixIndex(singleStreamSpaces, ({ prefix }) => prefix);
  return spaces
    .filter(({ prefix, isSingleStream: isWhole }) => !isWhole && index.longest(prefix, prefix.length - 1) !== undefined)
    .map(({ prefix }) => prefix);
}
