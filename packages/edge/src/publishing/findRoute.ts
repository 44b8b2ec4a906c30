import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { TopicFault } from "../subscriptions/topicFault.js";
import type { EdgeParts } from "../edgeParts.js";

/** Milliseconds that an edge waits for a configuration that is in the store and that it has not received yet. */
const configurationWaitMs = 300;

/**
 * The route of a topic, or why there is none. If this edge's configuration has no space for the topic, it asks the
 * store; if the store has one, it waits for that configuration for at most `configurationWaitMs`.
 */
export async function findRoute(edge: EdgeParts, topic: string): Promise<StreamRoute | TopicFault> {
  const { configuration, parts } = edge.node;
  const route = configuration.route(topic);
  if (route !== undefined) return route;
  const fault = await edge.configurationCheck.faultOf(topic);
  const { versionWithSpace } = fault;
  if (versionWithSpace === undefined) return fault;
  await configuration.reached(versionWithSpace, parts.clock, configurationWaitMs);
  return configuration.route(topic) ?? fault;
}
