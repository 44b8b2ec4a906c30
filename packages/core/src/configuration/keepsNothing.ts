import { Plans, type Plan } from "./configuration.js";
import { Streams } from "./streams.js";

/** Whether a stream lives in its holder's memory alone: all that the plan owes in it is kept for no time. */
export function keepsNothing(plan: Plan | undefined, stream: string): boolean {
  const space = Streams.spaceOf(stream);
  if (Plans.orderOf(plan, space) !== "space") return Plans.owed(plan, Streams.topicOf(stream))?.keep === 0;
  const rules = plan?.spaces.find((one) => Plans.prefixOf(one) === space)?.program ?? [];
  return rules.length > 0 && rules.every(({ owe }) => owe.keep === 0);
}
