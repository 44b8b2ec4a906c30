import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { TopicFault } from "../subscriptions/topicFault.js";
import type { EdgeParts } from "../edgeParts.js";

/** Milliseconds that an edge waits for a configuration that the store has and that it has not heard of yet. */
const unheardMs = 300;

/**
 * Where a topic's messages go. Of a topic that this edge knows no space for, the store is asked; a space that it has is
 * waited for, but not for long.
 */
export async function findRoute(edge: EdgeParts, topic: string): Promise<StreamRoute | TopicFault> {
  const { configuration, parts } = edge.node;
  const route = configuration.route(topic);
  if (route !== undefined) return route;
  const fault = await edge.configurationCheck.faultOf(topic);
  const { unheardVersion } = fault;
  if (unheardVersion === undefined) return fault;
  await configuration.reached(unheardVersion, parts.clock, unheardMs);
  return configuration.route(topic) ?? fault;
}
