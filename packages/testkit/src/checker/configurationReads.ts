import type { Breach } from "./checker.js";

/** A change that an operator was told is accepted, and when the answer came. */
export interface AcceptedChange {
  readonly version: number;
  readonly at: number;
}
/** A read of the configuration at some node that was answered with one. */
export interface ConfigurationRead {
  readonly node: string;
  readonly askedAt: number;
  readonly answeredAt: number;
  readonly version: number;
}

/**
 * Judges reads of the configuration at any node at any moment: none gives an older version than what was accepted
 * before it was asked, or than another read gave before that.
 */
export function checkReads(accepted: readonly AcceptedChange[], reads: readonly ConfigurationRead[]): Breach[] {
  const known = [
    ...accepted.map(({ version, at }) => ({ version, at, how: "accepted" })),
    ...reads.map(({ version, answeredAt, node }) => ({ version, at: answeredAt, how: `read at ${node}` })),
  ].sort((a, b) => a.at - b.at);
  const inOrder = [...reads].sort((a, b) => a.askedAt - b.askedAt);
  const breaches: Breach[] = [];
  let newest = { version: 0, at: 0, how: "" };
  let next = 0;
  for (const read of inOrder) {
    for (; next < known.length && known[next]!.at < read.askedAt; next += 1)
      if (known[next]!.version > newest.version) newest = known[next]!;
    if (read.version >= newest.version) continue;
    const ago = Math.round(read.askedAt - newest.at);
    const text = `${read.node} gave version ${read.version}; ${newest.version} was ${newest.how} ${ago} ms before`;
    breaches.push({ rule: "configuration-old", at: read.askedAt, text });
  }
  return breaches;
}
