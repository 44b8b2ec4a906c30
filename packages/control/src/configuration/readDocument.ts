import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

export type DocumentRead = { outcome: "done"; document: Uint8Array } | { outcome: "none" } | { outcome: "away" };

/** The operators' own document about the plan in force, byte for byte; none where the plan came without one. */
export async function readDocument(node: ClusterNode): Promise<DocumentRead> {
  const { bound } = node.configurationWitness;
  const present = await node.store.read([DocumentKey.name]);
  if (present.outcome !== "done") return { outcome: "away" };
  const kept = present.kvs?.[0];
  if (kept !== undefined && !node.configurationWitness.isCurrent(bound, kept.revision)) return { outcome: "away" };
  return kept === undefined ? { outcome: "none" } : { outcome: "done", document: kept.value };
}
