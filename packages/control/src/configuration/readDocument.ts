import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/** `away`: not known, as no majority confirmed the read or the value is older than what was seen before. */
export type DocumentRead = { outcome: "done"; document: Uint8Array } | { outcome: "none" } | { outcome: "away" };

/**
 * The operators' own document about the configuration in force, byte for byte; none where the configuration came
 * without one.
 */
export function readDocument(node: ClusterNode): Promise<DocumentRead> {
  return readNewest(node, DocumentKey.name);
}

/** The configuration in force, byte for byte; none where none was ever accepted. */
export function readConfiguration(node: ClusterNode): Promise<DocumentRead> {
  return readNewest(node, ConfigurationKey.name);
}

/**
 * A confirmed read of a key that is written whenever the configuration changes. `away` where no majority confirms it,
 * or where it is older than what this process has seen of the configuration before.
 */
async function readNewest(node: ClusterNode, key: string): Promise<DocumentRead> {
  const { bound } = node.configurationVerifier;
  const present = await node.store.read([key]);
  if (present.outcome !== "done") return { outcome: "away" };
  const kept = present.kvs?.[0];
  if (kept === undefined) return { outcome: "none" };
  if (!node.configurationVerifier.isCurrent(bound, kept.revision)) return { outcome: "away" };
  return { outcome: "done", document: kept.value };
}
