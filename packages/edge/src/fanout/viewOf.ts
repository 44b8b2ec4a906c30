import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** What a request tells a shard's leader of the configuration that this edge goes by. */
export function viewOf(
  { configuration }: Pick<ClusterNode, "configuration">,
  { stream, spaceIncarnation }: StreamRoute,
): { spaceIncarnation: number; configurationVersion: number; isKept: boolean } {
  return { spaceIncarnation, configurationVersion: configuration.version, isKept: configuration.isKept(stream) };
}
