/** Edits (insert, remove, replace a character) that turn one text into the other: Levenshtein's distance. */
function editDistance(one: string, other: string): number {
  let row = Array.from({ length: other.length + 1 }, (_, i) => i);
  for (let i = 1; i <= one.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= other.length; j += 1)
      next.push(Math.min(row[j]! + 1, next[j - 1]! + 1, row[j - 1]! + (one[i - 1] === other[j - 1] ? 0 : 1)));
    row = next;
  }
  return row[other.length]!;
}

/** The known name that takes the fewest edits to reach; of several, the first. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  return known.toSorted((a, b) => editDistance(name, a) - editDistance(name, b))[0];
}

/** A name on the command line that stands for nothing; the message names the nearest known one and all of them. */
export class UnknownNameError extends Error {
  readonly code = "unknown-name";

  constructor(kind: string, name: string, known: readonly string[]) {
    super(`no ${kind} "${name}"; did you mean "${nearestName(name, known)}"? Known: ${known.join(", ")}`);
  }
}

/** Returns the name, typed as one of the known ones; throws `UnknownNameError` where it is none. */
export function knownName<T extends string>(kind: string, name: string, known: readonly T[]): T {
  const found = known.find((one) => one === name);
  if (found === undefined) throw new UnknownNameError(kind, name, known);
  return found;
}

/** The names of a list parted by commas, each known; undefined where there is no list. */
export function knownNames<T extends string>(
  kind: string,
  list: string | undefined,
  known: readonly T[],
): T[] | undefined {
  return list?.split(",").map((name) => knownName(kind, name, known));
}
