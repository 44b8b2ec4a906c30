import type { Breach } from "./checker.js";

/** A configuration change whose acceptance was reported to an operator; `at` is when the reply arrived. */
export interface AcceptedChange {
  readonly version: number;
  readonly at: number;
}

/** A read of the configuration at a node that returned one. Times are in milliseconds of one clock. */
export interface ConfigurationRead {
  readonly node: string;
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly version: number;
}

/**
 * Checks reads of the configuration at any nodes: no read may return an older version than one that was accepted, or
 * returned by another read, before the read started.
 */
export function checkConfigurationReads(
  accepted: readonly AcceptedChange[],
  reads: readonly ConfigurationRead[],
): Breach[] {
  const observations = [
    ...accepted.map(({ version, at }) => ({ version, at, how: "accepted" })),
    ...reads.map(({ version, answeredAt, node }) => ({ version, at: answeredAt, how: `read at ${node}` })),
  ].sort((a, b) => a.at - b.at);
  const readsByStart = [...reads].sort((a, b) => a.askedAt - b.askedAt);
  const breaches: Breach[] = [];
  let newest = { version: 0, at: 0, how: "" };
  let nextIndex = 0;
  for (const read of readsByStart) {
    for (; nextIndex < observations.length && observations[nextIndex]!.at < read.askedAt; nextIndex += 1)
      if (observations[nextIndex]!.version > newest.version) newest = observations[nextIndex]!;
    if (read.version >= newest.version) continue;
    const ago = Math.round(read.askedAt - newest.at);
    const text = `${read.node} returned version ${read.version}; ${newest.version} was ${newest.how} ${ago} ms before`;
    breaches.push({ rule: "configuration-old", at: read.askedAt, text });
  }
  return breaches;
}
