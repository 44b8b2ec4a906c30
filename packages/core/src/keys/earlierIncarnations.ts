import { PrefixIndex } from "../configuration/prefixIndex.js";
import { JsonValue } from "./jsonValue.js";
import type { ConfigurationOutline, SpaceOutline } from "./configurationKey.js";

/** Versions of configurations, by prefix, as releases wrote them that named streams after spaces. */
interface EarlierIncarnationsRecord {
  readonly version: number;
  readonly spaces: Readonly<Record<string, number>>;
  /** For each prefix whose topics fell back to a space that they may have had streams in before, when they last did. */
  readonly ended: Readonly<Record<string, number>>;
  /** For each space that inherited its streams, the prefix of the space that these are named after. */
  readonly roots: Readonly<Record<string, string>>;
}

/** The field of stored records for the configuration's version; older than the term. */
const storedVersion = "mark";

type Versions = ReadonlyArray<readonly [prefix: string, version: number]>;

/**
 * What an entry of the store's log makes of the incarnations that was proposed by a release which named streams after
 * spaces. All members must make the same of it, whichever release they run: it says what those streams are called.
 */
export const EarlierIncarnations = {
  /** The record that follows on an earlier one with the next configuration. Deterministic. */
  next(before: Uint8Array | undefined, { version, spaces }: ConfigurationOutline): Uint8Array {
    const lineage = new Lineage(before === undefined ? undefined : parse(before), spaces);
    lineage.remove(version);
    lineage.add(version);
    const { roots, ...rest } = lineage.record();
    return JsonValue.write({
      [storedVersion]: version,
      ...rest,
      ...(Object.keys(roots).length === 0 ? {} : { roots }),
    });
  },
};

function parse(value: Uint8Array): EarlierIncarnationsRecord | undefined {
  const record = JsonValue.read(value);
  const spaces = JsonValue.numbers(record?.["spaces"]);
  const ended = JsonValue.numbers(record?.["ended"] ?? {});
  const roots = JsonValue.textTable(record?.["roots"] ?? {});
  const version = record?.[storedVersion];
  return typeof version === "number" && spaces !== undefined && ended !== undefined && roots !== undefined
    ? { version, spaces, ended, roots }
    : undefined;
}

/** The step from one configuration's incarnations to the next one's: first removals, then additions. */
class Lineage {
  readonly #spaces: readonly SpaceOutline[];
  readonly #earlier: ReadonlyMap<string, number>;
  readonly #earlierRoots: ReadonlyMap<string, string>;
  readonly #incarnations = new Map<string, number>();
  readonly #roots = new Map<string, string>();
  readonly #ended: Map<string, number>;

  constructor(before: EarlierIncarnationsRecord | undefined, spaces: readonly SpaceOutline[]) {
    this.#spaces = spaces;
    this.#earlier = new Map(Object.entries(before?.spaces ?? {}));
    this.#earlierRoots = new Map(Object.entries(before?.roots ?? {}));
    this.#ended = new Map(Object.entries(before?.ended ?? {}));
  }

  /** Carries over what stays, and notes which topics of removed spaces fall back to streams of an earlier time. */
  remove(version: number): void {
    const staying = this.#spaces.filter(({ prefix }) => this.#earlier.has(prefix));
    for (const { prefix } of staying) {
      this.#incarnations.set(prefix, this.#earlier.get(prefix)!);
      this.#setRoot(prefix, this.#earlierRoots.get(prefix));
    }
    const index = new PrefixIndex(staying, ({ prefix }) => prefix);
    const present = new Set(staying.map(({ prefix }) => prefix));
    const removed = [...this.#earlier].filter(([prefix]) => !present.has(prefix));
    const fallen = removed.filter((one) => this.#fallsToEarlierStreams(one, enclosingOf(index, one[0])));
    for (const [prefix] of removed) {
      const enclosing = enclosingOf(index, prefix);
      // A space that is one stream begins anew with the topics that come back to it.
      if (enclosing?.isWhole === true) this.#incarnations.set(enclosing.prefix, version);
    }
    for (const [prefix] of fallen) this.#ended.set(prefix, version);
  }

  /** A new space inherits from the one around it where both keep their messages in the same way. */
  add(version: number): void {
    const index = new PrefixIndex(this.#spaces, ({ prefix }) => prefix);
    const added = this.#spaces.filter(({ prefix }) => !this.#incarnations.has(prefix));
    for (const space of [...added].sort((a, b) => a.prefix.length - b.prefix.length)) {
      const { prefix } = space;
      const enclosing = enclosingOf(index, prefix);
      if (enclosing === undefined || !isSameKind(space, enclosing)) this.#incarnations.set(prefix, version);
      else {
        this.#incarnations.set(prefix, this.#incarnationWithin(enclosing.prefix, prefix));
        this.#setRoot(prefix, this.#rootOf(enclosing.prefix));
      }
    }
  }

  /** Ended prefixes are left out once nothing needs them. */
  record(): Omit<EarlierIncarnationsRecord, "version"> {
    const index = new PrefixIndex(this.#spaces, ({ prefix }) => prefix);
    const all = [...this.#ended].sort((a, b) => b[1] - a[1]);
    const later = new LaterPrefixes();
    const ended = all.filter((one) => {
      const isKept = !this.#incarnations.has(one[0]) && isNeeded(later, one, index, this.#incarnations);
      later.add(one[0]);
      return isKept;
    });
    return {
      spaces: Object.fromEntries(this.#spaces.map(({ prefix }) => [prefix, this.#incarnations.get(prefix)!])),
      ended: Object.fromEntries(ended),
      roots: Object.fromEntries(this.#roots),
    };
  }

  /** Whether the topics of a removed space may have had other streams in the space around it before they had theirs. */
  #fallsToEarlierStreams([prefix, incarnation]: Versions[number], enclosing: SpaceOutline | undefined): boolean {
    if (enclosing === undefined || enclosing.isWhole) return false;
    const within = this.#incarnationWithin(enclosing.prefix, prefix);
    const isOtherStream = (this.#earlierRoots.get(prefix) ?? prefix) !== this.#rootOf(enclosing.prefix);
    return isOtherStream ? this.#latestBelow(prefix, incarnation) >= within : incarnation > within;
  }

  /** The incarnation that topics with the longer prefix have as the shorter one's. */
  #incarnationWithin(space: string, prefix: string): number {
    let latest = this.#incarnations.get(space)!;
    for (const [ended, version] of this.#ended)
      if (ended.length > space.length && prefix.startsWith(ended)) latest = Math.max(latest, version);
    return latest;
  }

  /** The latest incarnation that a topic of a space has. */
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

/** The space that has what was a prefix's, or would have it without that prefix. */
function enclosingOf(spaces: PrefixIndex<SpaceOutline>, prefix: string): SpaceOutline | undefined {
  return spaces.longest(prefix, prefix.length - 1);
}

/** Both have a stream for each topic, in the same kind of storage. */
function isSameKind(one: SpaceOutline, other: SpaceOutline): boolean {
  return !one.isWhole && !other.isWhole && one.storage === other.storage && one.storage !== "mixed";
}

/** Neither the enclosing space's incarnation nor a later end of a shorter prefix says the same. */
function isNeeded(
  later: LaterPrefixes,
  [prefix, version]: Versions[number],
  spaces: PrefixIndex<SpaceOutline>,
  incarnations: ReadonlyMap<string, number>,
): boolean {
  const enclosing = enclosingOf(spaces, prefix);
  if (enclosing === undefined || enclosing.isWhole || incarnations.get(enclosing.prefix)! >= version) return false;
  return !later.hasLonger(prefix, enclosing.prefix.length);
}
