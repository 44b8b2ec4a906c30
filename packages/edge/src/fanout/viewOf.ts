import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** Fields of a request that tell the shard's leader which configuration this edge uses for the stream. */
export function viewOf(
  { configuration }: Pick<ClusterNode, "configuration">,
  { stream, spaceIncarnation }: StreamRoute,
): { spaceIncarnation: number; configurationVersion: number; isKept: boolean } {
  return { spaceIncarnation, configurationVersion: configuration.version, isKept: configuration.isKept(stream) };
}
