import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/**
 * `none`: there is no value. `away`: the value is not known, because no majority confirmed the read or because it is
 * older than what this process has seen.
 */
export type DocumentRead = { outcome: "done"; document: Uint8Array } | { outcome: "none" } | { outcome: "away" };

/**
 * Reads the operator's document of the configuration in force, byte for byte; `none` if the configuration came
 * without a document.
 */
export function readDocument(node: ClusterNode): Promise<DocumentRead> {
  return readConfirmed(node, DocumentKey.name);
}

/** Reads the configuration in force, byte for byte; `none` if no configuration was ever accepted. */
export function readConfiguration(node: ClusterNode): Promise<DocumentRead> {
  return readConfirmed(node, ConfigurationKey.name);
}

/**
 * Confirmed read of a key that is written whenever the configuration changes. `away` if no majority confirms it or if
 * its revision is below one of the configuration that this process has already seen.
 */
async function readConfirmed(node: ClusterNode, key: string): Promise<DocumentRead> {
  const { minRevision: seenRevision } = node.configurationVerifier;
  const readOutcome = await node.store.read([key]);
  if (readOutcome.outcome !== "done") return { outcome: "away" };
  const stored = readOutcome.kvs?.[0];
  if (stored === undefined) return { outcome: "none" };
  if (!node.configurationVerifier.isCurrent(seenRevision, stored.revision)) return { outcome: "away" };
  return { outcome: "done", document: stored.value };
}
