import { Configurations, type Configuration } from "./configuration.js";
import { Streams } from "./streams.js";

/** Whether a stream lives only in its leader's memory, because all of its contracts keep messages for 0 seconds. */
export function keepsNothing(configuration: Configuration | undefined, stream: string): boolean {
  const topic = Streams.topicOf(stream);
  if (!Streams.isWhole(configuration, stream)) return Configurations.contractFor(configuration, topic)?.keep === 0;
  const rules = Configurations.spaceOf(configuration, topic)?.program ?? [];
  return rules.length > 0 && rules.every(({ contract }) => contract.keep === 0);
}
