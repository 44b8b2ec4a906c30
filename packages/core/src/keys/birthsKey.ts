import { JsonValue } from "./jsonValue.js";
import type { PlanOutline, SpaceOutline } from "./configurationKey.js";

/** Marks of plans, by prefix. */
export interface BirthsRecord {
  /** The plan that this belongs to. */
  mark: number;
  /** For each space the mark of the plan in which it appeared, or appeared again. */
  spaces: Record<string, number>;
  /** For each prefix whose topics fell back to a space with a shorter one, when they last did. */
  ended: Record<string, number>;
}

type Marks = Array<[prefix: string, mark: number]>;

/** The key beside the plan that says when each of its spaces was born; written with the plan, in one step. */
export const BirthsKey = {
  name: "plan/births",
  /** So many ended prefixes are told apart; for the eldest ones beyond, the space that has their topics is reborn. */
  mostEnded: 256,

  write(record: Omit<BirthsRecord, "ended"> & Partial<BirthsRecord>): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): BirthsRecord | undefined {
    const record = JsonValue.read(value);
    const spaces = JsonValue.numbers(record?.["spaces"]);
    const ended = JsonValue.numbers(record?.["ended"] ?? {});
    const mark = record?.["mark"];
    return typeof mark === "number" && spaces !== undefined && ended !== undefined
      ? { mark, spaces, ended }
      : undefined;
  },

  /**
   * A space keeps its birth from plan to plan; one that was not there before is born with this plan. Topics that
   * a longer prefix gives back begin anew, so a topic's birth only rises while some plan has it: one by one where
   * each is a stream, and with the whole space where that is one stream.
   */
  next(before: BirthsRecord | undefined, { mark, spaces }: PlanOutline): BirthsRecord {
    const present = new Set(spaces.map(({ prefix }) => prefix));
    const earlier = new Map(Object.entries(before?.spaces ?? {}));
    const births = new Map(spaces.map(({ prefix }) => [prefix, earlier.get(prefix) ?? mark]));
    const gone = [...earlier.keys()].filter((prefix) => !present.has(prefix));
    for (const prefix of gone) {
      const heir = heirOf(spaces, prefix);
      if (heir?.isWhole === true) births.set(heir.prefix, mark);
    }
    const marks = new Map([...Object.entries(before?.ended ?? {}), ...gone.map((one) => [one, mark] as const)]);
    const all = [...marks].sort((a, b) => b[1] - a[1]);
    const ended = all.filter((one, i) => !present.has(one[0]) && isNeeded(all.slice(0, i), one, spaces, births));
    for (const [prefix] of ended.splice(BirthsKey.mostEnded)) births.set(heirOf(spaces, prefix)!.prefix, mark);
    return { mark, spaces: Object.fromEntries(births), ended: Object.fromEntries(ended) };
  },
};

/** The space that has what was a prefix's. */
function heirOf(spaces: readonly SpaceOutline[], prefix: string): SpaceOutline | undefined {
  return spaces
    .filter((one) => one.prefix !== prefix && prefix.startsWith(one.prefix))
    .reduce<SpaceOutline | undefined>(
      (a, b) => (a === undefined || b.prefix.length > a.prefix.length ? b : a),
      undefined,
    );
}

/** Neither the heir's birth nor a later end of a shorter prefix says the same. */
function isNeeded(
  later: Marks,
  [prefix, mark]: Marks[number],
  spaces: readonly SpaceOutline[],
  births: ReadonlyMap<string, number>,
): boolean {
  const heir = heirOf(spaces, prefix);
  if (heir === undefined || heir.isWhole || births.get(heir.prefix)! >= mark) return false;
  return !later.some(([other]) => prefix.startsWith(other) && other.length > heir.prefix.length);
}
