import { PrefixIndex } from "../configuration/prefixIndex.js";
import { JsonValue } from "./jsonValue.js";
import type { ConfigurationOutline, SpaceOutline } from "./configurationKey.js";

/**
 * The incarnations record of earlier releases, which named streams after spaces. The numbers are versions of the
 * configuration, by prefix.
 */
interface EarlierIncarnationsRecord {
  readonly version: number;
  readonly spaces: Readonly<Record<string, number>>;
  /**
   * For each prefix of a removed space whose topics returned to an enclosing space in which they may have had streams
   * before: the version in which they last returned.
   */
  readonly ended: Readonly<Record<string, number>>;
  /** For each space that inherited its streams, the prefix of the space after which the streams are named. */
  readonly roots: Readonly<Record<string, string>>;
}

/** The name of the stored field for the configuration's version; it dates from earlier releases and must stay. */
const storedVersionField = "mark";

type PrefixVersions = ReadonlyArray<readonly [prefix: string, version: number]>;

/**
 * Computes the incarnations record for log entries of the metadata store that were proposed by an earlier release,
 * which named streams after spaces. All members must compute the same record, whichever release they run, because the
 * record determines the names of those streams.
 */
export const EarlierIncarnations = {
  /** The record after the next configuration, from the previous record. Deterministic. */
  next(before: Uint8Array | undefined, { version, spaces }: ConfigurationOutline): Uint8Array {
    const lineage = new IncarnationUpdate(before === undefined ? undefined : parse(before), spaces);
    lineage.remove(version);
    lineage.add(version);
    const { roots, ...rest } = lineage.record();
    return JsonValue.write({
      [storedVersionField]: version,
      ...rest,
      ...(Object.keys(roots).length === 0 ? {} : { roots }),
    });
  },
};

function parse(value: Uint8Array): EarlierIncarnationsRecord | undefined {
  const record = JsonValue.read(value);
  const spaces = JsonValue.numberTable(record?.["spaces"]);
  const ended = JsonValue.numberTable(record?.["ended"] ?? {});
  const roots = JsonValue.stringTable(record?.["roots"] ?? {});
  const version = record?.[storedVersionField];
  return typeof version === "number" && spaces !== undefined && ended !== undefined && roots !== undefined
    ? { version, spaces, ended, roots }
    : undefined;
}

/** Computes the incarnations of the next configuration: first removed spaces, then added ones. */
class IncarnationUpdate {
  readonly #spaces: readonly SpaceOutline[];
  readonly #previousIncarnations: ReadonlyMap<string, number>;
  readonly #previousRoots: ReadonlyMap<string, string>;
  readonly #incarnations = new Map<string, number>();
  readonly #roots = new Map<string, string>();
  readonly #ended: Map<string, number>;

  constructor(before: EarlierIncarnationsRecord | undefined, spaces: readonly SpaceOutline[]) {
    this.#spaces = spaces;
    this.#previousIncarnations = new Map(Object.entries(before?.spaces ?? {}));
    this.#previousRoots = new Map(Object.entries(before?.roots ?? {}));
    this.#ended = new Map(Object.entries(before?.ended ?? {}));
  }

  /** Keeps the retained spaces, and records the removed ones whose topics return to streams they had before. */
  remove(version: number): void {
    const retained = this.#spaces.filter(({ prefix }) => this.#previousIncarnations.has(prefix));
    for (const { prefix } of retained) {
      this.#incarnations.set(prefix, this.#previousIncarnations.get(prefix)!);
      this.#setRoot(prefix, this.#previousRoots.get(prefix));
    }
    const index = new PrefixIndex(retained, ({ prefix }) => prefix);
    const retainedPrefixes = new Set(retained.map(({ prefix }) => prefix));
    const removed = [...this.#previousIncarnations].filter(([prefix]) => !retainedPrefixes.has(prefix));
    const revertedSpaces = removed.filter((space) =>
      this.#revertsToEarlierStreams(space, enclosingOf(index, space[0])),
    );
    for (const [prefix] of removed) {
      const enclosing = enclosingOf(index, prefix);
      // A space that is one stream starts a new incarnation when topics return to it.
      if (enclosing?.isSingleStream === true) this.#incarnations.set(enclosing.prefix, version);
    }
    for (const [prefix] of revertedSpaces) this.#ended.set(prefix, version);
  }

  /** Adds new spaces. A new space inherits its streams from the enclosing one if both use the same storage. */
  add(version: number): void {
    const index = new PrefixIndex(this.#spaces, ({ prefix }) => prefix);
    const added = this.#spaces.filter(({ prefix }) => !this.#incarnations.has(prefix));
    for (const space of [...added].sort((a, b) => a.prefix.length - b.prefix.length)) {
      const { prefix } = space;
      const enclosing = enclosingOf(index, prefix);
      if (enclosing === undefined || !hasSameStorage(space, enclosing)) this.#incarnations.set(prefix, version);
      else {
        this.#incarnations.set(prefix, this.#incarnationWithin(enclosing.prefix, prefix));
        this.#setRoot(prefix, this.#rootOf(enclosing.prefix));
      }
    }
  }

  /** The resulting record, without ended prefixes that no longer affect any incarnation. */
  record(): Omit<EarlierIncarnationsRecord, "version"> {
    const index = new PrefixIndex(this.#spaces, ({ prefix }) => prefix);
    const newestFirst = [...this.#ended].sort((a, b) => b[1] - a[1]);
    const later = new LaterPrefixes();
    const ended = newestFirst.filter((entry) => {
      const isKept = !this.#incarnations.has(entry[0]) && isNeeded(later, entry, index, this.#incarnations);
      later.add(entry[0]);
      return isKept;
    });
    return {
      spaces: Object.fromEntries(this.#spaces.map(({ prefix }) => [prefix, this.#incarnations.get(prefix)!])),
      ended: Object.fromEntries(ended),
      roots: Object.fromEntries(this.#roots),
    };
  }

  /** Whether topics of a removed space may have had other streams in the enclosing space before. */
  #revertsToEarlierStreams(
    [prefix, incarnation]: PrefixVersions[number],
    enclosing: SpaceOutline | undefined,
  ): boolean {
    if (enclosing === undefined || enclosing.isSingleStream) return false;
    const within = this.#incarnationWithin(enclosing.prefix, prefix);
    const isOtherStream = (this.#previousRoots.get(prefix) ?? prefix) !== this.#rootOf(enclosing.prefix);
    return isOtherStream ? this.#latestBelow(prefix, incarnation) >= within : incarnation > within;
  }

  /** The incarnation that topics with the longer prefix `prefix` have as part of `space`. */
  #incarnationWithin(space: string, prefix: string): number {
    let latest = this.#incarnations.get(space)!;
    for (const [ended, version] of this.#ended)
      if (ended.length > space.length && prefix.startsWith(ended)) latest = Math.max(latest, version);
    return latest;
  }

  /** The latest incarnation of any topic in a space. */
  #latestBelow(space: string, incarnation: number): number {
    let latest = incarnation;
    for (const [ended, version] of this.#ended) if (ended.startsWith(space)) latest = Math.max(latest, version);
    return latest;
  }

  #rootOf(prefix: string): string {
    return this.#roots.get(prefix) ?? prefix;
  }

  #setRoot(prefix: string, root: string | undefined): void {
    if (root !== undefined && root !== prefix) this.#roots.set(prefix, root);
  }
}

/** A set of prefixes, grouped by length to look up which of them a text begins with. */
class LaterPrefixes {
  readonly #byLength = new Map<number, Set<string>>();

  add(prefix: string): void {
    const sameLength = this.#byLength.get(prefix.length) ?? new Set<string>();
    this.#byLength.set(prefix.length, sameLength.add(prefix));
  }

  /** Whether the text begins with a prefix in the set that is longer than `length`. */
  hasLongerPrefixOf(text: string, length: number): boolean {
    return [...this.#byLength].some(
      ([prefixLength, prefixes]) => prefixLength > length && prefixes.has(text.slice(0, prefixLength)),
    );
  }
}

/** The innermost space around a prefix, which has its topics if there is no space with that prefix. */
function enclosingOf(spaces: PrefixIndex<SpaceOutline>, prefix: string): SpaceOutline | undefined {
  return spaces.longest(prefix, prefix.length - 1);
}

/** Whether both spaces have one stream per topic, in the same storage. */
function hasSameStorage(one: SpaceOutline, other: SpaceOutline): boolean {
  return !one.isSingleStream && !other.isSingleStream && one.storage === other.storage && one.storage !== "mixed";
}

/**
 * Whether an ended prefix still affects incarnations: neither the enclosing space's incarnation nor a shorter prefix
 * that ended later implies it.
 */
function isNeeded(
  later: LaterPrefixes,
  [prefix, version]: PrefixVersions[number],
  spaces: PrefixIndex<SpaceOutline>,
  incarnations: ReadonlyMap<string, number>,
): boolean {
  const enclosing = enclosingOf(spaces, prefix);
  if (enclosing === undefined || enclosing.isSingleStream || incarnations.get(enclosing.prefix)! >= version)
    return false;
  return !later.hasLongerPrefixOf(prefix, enclosing.prefix.length);
}
