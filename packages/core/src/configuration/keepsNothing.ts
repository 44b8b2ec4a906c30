import { Configurations, type Configuration } from "./configuration.js";
import { Streams } from "./streams.js";

/** Whether a stream lives in its leader's memory alone: all that the configuration owes in it is kept for no time. */
export function keepsNothing(configuration: Configuration | undefined, stream: string): boolean {
  const space = Streams.spaceOf(stream);
  if (Configurations.orderOf(configuration, space) !== "space")
    return Configurations.contractFor(configuration, Streams.topicOf(stream))?.keep === 0;
  const rules = configuration?.spaces.find((one) => Configurations.prefixOf(one) === space)?.program ?? [];
  return rules.length > 0 && rules.every(({ contract }) => contract.keep === 0);
}
