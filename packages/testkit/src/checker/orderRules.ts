import type { Breach } from "./checker.js";
import type { Seen } from "./history.js";

/** Judges what operators were told, whether it reached them or not: no mark is acknowledged with two contents. */
export function judgeOrders(seen: readonly Seen[]): Breach[] {
  const breaches: Breach[] = [];
  const contents = new Map<number, string>();
  for (const one of seen) {
    if (one.kind !== "planTaken") continue;
    const other = contents.get(one.mark);
    if (other !== undefined && other !== one.text)
      breaches.push({ rule: "two-contents", at: one.at, text: `mark ${one.mark} was acknowledged with two contents` });
    contents.set(one.mark, one.text);
  }
  return breaches;
}
