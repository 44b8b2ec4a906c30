import type { Breach } from "./checker.js";
import type { HistoryEvent } from "./history.js";

/**
 * Checks the answers to configuration changes ("orders"). A change that a node acknowledged must not be refused later,
 * whether or not the acknowledgement reached the operator; a repeated put is acknowledged again or gets no definite
 * answer. A version must not be acknowledged with two different contents.
 */
export function checkAcknowledgements(seen: readonly HistoryEvent[]): Breach[] {
  const breaches: Breach[] = [];
  const acknowledged = new Set<string>();
  const contents = new Map<number, string>();
  for (const event of seen) {
    if (event.kind === "planTaken") {
      const other = contents.get(event.version);
      if (other !== undefined && other !== event.text)
        breaches.push({
          rule: "two-contents",
          at: event.at,
          text: `version ${event.version} was acknowledged with two contents`,
        });
      contents.set(event.version, event.text);
      acknowledged.add(event.text);
    } else if ((event.kind === "planSuperseded" || event.kind === "planRefused") && acknowledged.has(event.text)) {
      const text = `version ${event.version} was acknowledged, and refused when it was sent again`;
      breaches.push({ rule: "acknowledged-refused", at: event.at, text });
    }
  }
  return breaches;
}
