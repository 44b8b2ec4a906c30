import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { contentDigest, contentKind } from "@cranetrack/core/configuration/contentDigest.js";
import {
  Configurations,
  type Configuration,
  type ConfigurationFault,
} from "@cranetrack/core/configuration/configuration.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";

/**
 * Decides what happens to a configuration change. The decisions are pure functions of the change and of what was read
 * from the store.
 *
 * Once a version is acknowledged it never stands for other content, across crashes, retries and control nodes.
 */

/** A complete configuration with its version, as an operator sent it. */
export interface ConfigurationChange {
  version: number;
  body: Uint8Array;
  /** The operator's document from which this node translated `body`; undefined if the operator sent `body` itself. */
  document: Uint8Array | undefined;
}

/** The stored state of the configuration in force and of one version, from a confirmed read. */
export interface ConfigurationChangeInputs {
  configuration: Kv | undefined;
  /** The document of the configuration in force. */
  document: Kv | undefined;
  /** The record of the content that was acknowledged under the version. */
  record: Kv | undefined;
  /** Up to this version the record of the acknowledged content may have been dropped. */
  floor: number;
}

/** How a change relates to the stored state. */
export type ConfigurationChangeDecision =
  /** Already acknowledged with the same content. */
  | { kind: "acknowledged"; revision: number }
  /** The version is acknowledged or in force with other content; this content never will be. */
  | { kind: "other-content"; versionInForce: number }
  /** Below the version in force; the record of what was acknowledged under it, if anything, may have been dropped. */
  | { kind: "forgotten"; versionInForce: number }
  /** Below the version in force and never acknowledged. */
  | { kind: "superseded"; versionInForce: number }
  /** Above the version in force. */
  | { kind: "newer" };

/**
 * Depends only on what the operator sent and what was committed, not on settings or the state of the fleet, so every
 * node comes to the same decision.
 */
export function decideConfigurationChange(
  change: ConfigurationChange,
  inputs: ConfigurationChangeInputs,
): ConfigurationChangeDecision {
  const versionInForce =
    inputs.configuration === undefined ? 0 : ConfigurationKey.versionOf(inputs.configuration.value);
  const isInForce = inputs.configuration !== undefined && versionInForce === change.version;
  if (isInForce && isContentInForce(change, inputs))
    return { kind: "acknowledged", revision: inputs.configuration!.revision };
  if (inputs.record !== undefined)
    return isEqual(inputs.record.value, contentDigestOf(change))
      ? { kind: "acknowledged", revision: inputs.record.revision }
      : { kind: "other-content", versionInForce };
  if (isInForce) return { kind: "other-content", versionInForce };
  if (change.version > versionInForce) return { kind: "newer" };
  return { kind: change.version <= inputs.floor ? "forgotten" : "superseded", versionInForce };
}

/** The digest recorded for an acknowledged version: of the document if there is one, otherwise of the body. */
export function contentDigestOf({ body, document }: ConfigurationChange): Uint8Array {
  return document === undefined
    ? contentDigest(contentKind.configuration, body)
    : contentDigest(contentKind.document, document);
}

/** The keys to read before a decision; if the version has no record, the document has to be read as well. */
export function inputKeys(version: number): string[] {
  return [ConfigurationKey.name, AcceptedChangeKey.of(version), AcceptedChangeKey.floorKey];
}

/** The inputs of the decision, from the keys that were read. */
export function inputsOf(version: number, kvs: readonly Kv[]): ConfigurationChangeInputs {
  const find = (key: string): Kv | undefined => kvs.find((kv) => kv.key === key);
  return {
    configuration: find(ConfigurationKey.name),
    document: find(DocumentKey.name),
    record: find(AcceptedChangeKey.of(version)),
    floor: AcceptedChangeKey.readFloor(find(AcceptedChangeKey.floorKey)?.value),
  };
}

/**
 * Faults for spaces whose message order would change. A space is either one stream or one stream per topic as long as
 * it exists, because this determines where its messages are stored.
 */
export function messageOrderFaults(inForce: Uint8Array, configuration: Configuration): ConfigurationFault[] {
  const spacesInForce = new Map(ConfigurationKey.outline(inForce)?.spaces.map((space) => [space.prefix, space]));
  return configuration.spaces.flatMap((space, i) => {
    const spaceInForce = spacesInForce.get(Configurations.prefixOf(space));
    const isOneStream = space.program[0]!.contract.order === "space";
    if (spaceInForce === undefined || spaceInForce.isSingleStream === isOneStream) return [];
    const order = spaceInForce.isSingleStream ? "space" : "sender or topic";
    const problem = `space ${space.name} keeps order ${order} while it exists; remove the space and create it again`;
    return [{ path: `spaces.${i}.program.0.owe.order`, problem }];
  });
}

/**
 * Whether the change has the content in force. A change without a document is compared with the configuration in force,
 * regardless of that configuration's document.
 */
function isContentInForce({ body, document }: ConfigurationChange, inputs: ConfigurationChangeInputs): boolean {
  if (document === undefined)
    return isEqual(
      contentDigest(contentKind.configuration, inputs.configuration!.value),
      contentDigest(contentKind.configuration, body),
    );
  const documentInForce = inputs.document?.value;
  return (
    documentInForce !== undefined &&
    isEqual(contentDigest(contentKind.document, documentInForce), contentDigest(contentKind.document, document))
  );
}

function isEqual(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
