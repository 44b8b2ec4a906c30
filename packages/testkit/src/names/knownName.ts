/** The Levenshtein distance: how many characters to insert, remove or replace to turn one text into the other. */
function editDistance(from: string, to: string): number {
  let row = Array.from({ length: to.length + 1 }, (_, i) => i);
  for (let i = 1; i <= from.length; i += 1) {
    const nextRow = [i];
    for (let j = 1; j <= to.length; j += 1)
      nextRow.push(Math.min(row[j]! + 1, nextRow[j - 1]! + 1, row[j - 1]! + (from[i - 1] === to[j - 1] ? 0 : 1)));
    row = nextRow;
  }
  return row[to.length]!;
}

/** The known name with the smallest edit distance, the first of several; undefined if no name is known. */
export function nearestName(name: string, known: readonly string[]): string | undefined {
  return known.toSorted((a, b) => editDistance(name, a) - editDistance(name, b))[0];
}

/** An unknown name on the command line; the message has the nearest known name and all known ones. */
export class UnknownNameError extends Error {
  readonly code = "unknown-name";

  constructor(kind: string, name: string, known: readonly string[]) {
    super(`no ${kind} "${name}"; did you mean "${nearestName(name, known)}"? Known: ${known.join(", ")}`);
  }
}

/** Returns the name, typed as one of the known ones; throws `UnknownNameError` if it is unknown. */
export function knownName<T extends string>(kind: string, name: string, known: readonly T[]): T {
  const found = known.find((one) => one === name);
  if (found === undefined) throw new UnknownNameError(kind, name, known);
  return found;
}

/**
 * Parses a comma-separated list of known names; undefined without a list. Throws `UnknownNameError` on an unknown name.
 */
export function knownNames<T extends string>(
  kind: string,
  list: string | undefined,
  known: readonly T[],
): T[] | undefined {
  return list?.split(",").map((name) => knownName(kind, name, known));
}
