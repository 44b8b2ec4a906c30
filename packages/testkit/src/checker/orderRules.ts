import type { Breach } from "./checker.js";
import type { Seen } from "./history.js";

/**
 * Judges what operators were told: what a node has acknowledged is acknowledged again or left without a clear
 * answer, whether the operator heard of it or not, and no version is acknowledged with two contents.
 */
export function checkOrders(seen: readonly Seen[]): Breach[] {
  const breaches: Breach[] = [];
  const taken = new Set<string>();
  const contents = new Map<number, string>();
  for (const one of seen) {
    if (one.kind === "planTaken") {
      const other = contents.get(one.version);
      if (other !== undefined && other !== one.text)
        breaches.push({
          rule: "two-contents",
          at: one.at,
          text: `mark ${one.version} was acknowledged with two contents`,
        });
      contents.set(one.version, one.text);
      taken.add(one.text);
    } else if ((one.kind === "planSuperseded" || one.kind === "planRefused") && taken.has(one.text)) {
      const what = `mark ${one.version} was acknowledged, and refused when it was sent again`;
      breaches.push({ rule: "acknowledged-refused", at: one.at, text: what });
    }
  }
  return breaches;
}
