import { PrefixIndex } from "../configuration/prefixIndex.js";
import { JsonValue } from "./jsonValue.js";
import type { ConfigurationOutline, SpaceOutline } from "./configurationKey.js";

/** Versions of configurations, by prefix. */
export interface IncarnationsRecord {
  /** The configuration that this belongs to. */
  version: number;
  /** For each space the version of the configuration in which it appeared, or appeared again. */
  spaces: Record<string, number>;
  /** For each prefix whose topics fell back to a space with a shorter one, when they last did. */
  ended: Record<string, number>;
}

/** The field of stored records for the configuration's version; older than the term. */
const storedVersion = "mark";

type Versions = ReadonlyArray<readonly [prefix: string, mark: number]>;

/**
 * The key beside the configuration that says when each of its spaces was born; written with the configuration, in one
 * step.
 */
export const IncarnationsKey = {
  name: "plan/births",
  /** So many ended prefixes are told apart; for the eldest ones beyond, the space that has their topics is reborn. */
  maxEnded: 256,

  write(record: Omit<IncarnationsRecord, "ended"> & Partial<IncarnationsRecord>): Uint8Array {
    const { version, ...rest } = record;
    return JsonValue.write({ [storedVersion]: version, ...rest });
  },

  read(value: Uint8Array): IncarnationsRecord | undefined {
    const record = JsonValue.read(value);
    const spaces = JsonValue.numbers(record?.["spaces"]);
    const ended = JsonValue.numbers(record?.["ended"] ?? {});
    const version = record?.[storedVersion];
    return typeof version === "number" && spaces !== undefined && ended !== undefined
      ? { version, spaces, ended }
      : undefined;
  },

  /**
   * A space keeps its incarnation from configuration to configuration; one that was not there before is born with this
   * configuration. Topics that
   * a longer prefix gives back begin anew, so a topic's incarnation only rises while some configuration has it: one by
   * one where
   * each is a stream, and with the whole space where that is one stream.
   */
  next(before: IncarnationsRecord | undefined, { version, spaces }: ConfigurationOutline): IncarnationsRecord {
    const present = new Set(spaces.map(({ prefix }) => prefix));
    const earlier = new Map(Object.entries(before?.spaces ?? {}));
    const incarnations = new Map(spaces.map(({ prefix }) => [prefix, earlier.get(prefix) ?? version]));
    const gone = [...earlier.keys()].filter((prefix) => !present.has(prefix));
    const index = new PrefixIndex(spaces, ({ prefix }) => prefix);
    for (const prefix of gone) {
      const heir = heirOf(index, prefix);
      if (heir?.isWhole === true) incarnations.set(heir.prefix, version);
    }
    const versions = new Map([...Object.entries(before?.ended ?? {}), ...gone.map((one) => [one, version] as const)]);
    const all = [...versions].sort((a, b) => b[1] - a[1]);
    const later = new LaterPrefixes();
    const ended = all.filter((one) => {
      const isKept = !present.has(one[0]) && isNeeded(later, one, index, incarnations);
      later.add(one[0]);
      return isKept;
    });
    for (const [prefix] of ended.splice(IncarnationsKey.maxEnded))
      incarnations.set(heirOf(index, prefix)!.prefix, version);
    return { version, spaces: Object.fromEntries(incarnations), ended: Object.fromEntries(ended) };
  },
};

/** Prefixes by length, to ask whether one of them begins a text. */
class LaterPrefixes {
  readonly #byLength = new Map<number, Set<string>>();

  add(prefix: string): void {
    const known = this.#byLength.get(prefix.length) ?? new Set<string>();
    this.#byLength.set(prefix.length, known.add(prefix));
  }

  /** Whether one that is longer than this begins the text. */
  hasLonger(text: string, length: number): boolean {
    return [...this.#byLength].some(([one, known]) => one > length && known.has(text.slice(0, one)));
  }
}

/** The space that has what was a prefix's. */
function heirOf(spaces: PrefixIndex<SpaceOutline>, prefix: string): SpaceOutline | undefined {
  return spaces.longest(prefix, prefix.length - 1);
}

/** Neither the heir's incarnation nor a later end of a shorter prefix says the same. */
function isNeeded(
  later: LaterPrefixes,
  [prefix, version]: Versions[number],
  spaces: PrefixIndex<SpaceOutline>,
  incarnations: ReadonlyMap<string, number>,
): boolean {
  const heir = heirOf(spaces, prefix);
  if (heir === undefined || heir.isWhole || incarnations.get(heir.prefix)! >= version) return false;
  return !later.hasLonger(prefix, heir.prefix.length);
}
