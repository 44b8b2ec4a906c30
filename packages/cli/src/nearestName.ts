/** The known name with the smallest edit distance (changed, added, missing or swapped letters); the first of equals. */
export function nearestName(given: string, known: readonly string[]): string | undefined {
  let nearest: string | undefined;
  let smallestDistance = Infinity;
  for (const name of known) {
    const distance = editDistance(given, name);
    if (distance < smallestDistance) [nearest, smallestDistance] = [name, distance];
  }
  return nearest;
}

/** The error for an unknown name; its message gives the nearest known name and all known names. */
export function unknownNameError(kind: string, given: string, known: readonly string[]): Error {
  return new Error(
    `unknown ${kind} "${given}"; the nearest is "${nearestName(given, known) ?? ""}". Known: ${known.join(", ")}`,
  );
}

function editDistance(from: string, to: string): number {
  // rows[i][j] is the distance from the first i letters of `from` to the first j letters of `to`.
  const rows = [Array.from({ length: to.length + 1 }, (_, j) => j)];
  for (let i = 1; i <= from.length; i += 1) {
    const row = [i];
    for (let j = 1; j <= to.length; j += 1) {
      const isSame = from[i - 1] === to[j - 1];
      const above = rows[i - 1]!;
      row.push(Math.min(above[j]! + 1, row[j - 1]! + 1, above[j - 1]! + (isSame ? 0 : 1)));
      const isSwapped = i > 1 && j > 1 && from[i - 1] === to[j - 2] && from[i - 2] === to[j - 1];
      if (isSwapped) row[j] = Math.min(row[j]!, rows[i - 2]![j - 2]! + 1);
    }
    rows.push(row);
  }
  return rows[from.length]![to.length]!;
}
