import type { Settings } from "./settings.js";

/** Milliseconds for which a publish that its client repeated last may be on its way to a leader. */
const deliveryMarginMs = 5000;

/** How many milliseconds after a publish number was first sent it may still arrive at a leader. */
export function repeatWindowMs({ redeliveryMs }: Pick<Settings, "redeliveryMs">): number {
  return redeliveryMs + deliveryMarginMs;
}
