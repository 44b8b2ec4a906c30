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
 * What becomes of a configuration change: pure decisions from what was sent and what was read.
 *
 * Once a version is acknowledged it never stands for other content, through crashes, retries and other control nodes.
 */

/** A complete configuration under a version, as an operator sent it. */
export interface ConfigurationChange {
  version: number;
  body: Uint8Array;
  /** The operators' own document, of which `body` is this node's translation; none where the body is what was sent. */
  document: Uint8Array | undefined;
}

/** What the store knows about the configuration in force and about one version; a confirmed read. */
export interface ConfigurationChangeInputs {
  configuration: Kv | undefined;
  document: Kv | undefined;
  record: Kv | undefined;
  /** Up to this version it may be forgotten which content was acknowledged. */
  floor: number;
}

/** What a change is to the store. */
export type ConfigurationChangeDecision =
  /** Acknowledged before with this very content. */
  | { kind: "acknowledged"; revision: number }
  /** Acknowledged or in force with other content: this one never will be. */
  | { kind: "other-content"; versionInForce: number }
  /** Below the version in force, and which content was acknowledged under it, if any, may be forgotten. */
  | { kind: "forgotten"; versionInForce: number }
  /** Below the version in force and never acknowledged. */
  | { kind: "superseded"; versionInForce: number }
  /** Above the version in force. */
  | { kind: "newer" };

/**
 * Depends on what the operator sent and what was committed alone, not on settings or the fleet's state: every node
 * decides the same.
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

/** What is recorded beside an acknowledged version: of the document where there is one, else of the body. */
export function contentDigestOf({ body, document }: ConfigurationChange): Uint8Array {
  return document === undefined
    ? contentDigest(contentKind.configuration, body)
    : contentDigest(contentKind.document, document);
}

/** The keys to read before a change is decided; the document comes on top where the version has no record. */
export function inputKeys(version: number): string[] {
  return [ConfigurationKey.name, AcceptedChangeKey.of(version), AcceptedChangeKey.floor];
}

/** The inputs from what was read under these keys. */
export function inputsOf(version: number, kvs: readonly Kv[]): ConfigurationChangeInputs {
  const find = (key: string): Kv | undefined => kvs.find((kv) => kv.key === key);
  return {
    configuration: find(ConfigurationKey.name),
    document: find(DocumentKey.name),
    record: find(AcceptedChangeKey.of(version)),
    floor: AcceptedChangeKey.readFloor(find(AcceptedChangeKey.floor)?.value),
  };
}

/**
 * Faults of spaces whose order of messages would change. A space is one stream, or one stream a topic, for its whole
 * life: where its messages are stored follows from that.
 */
export function messageOrderFaults(inForce: Uint8Array, configuration: Configuration): ConfigurationFault[] {
  const before = new Map(ConfigurationKey.outline(inForce)?.spaces.map((space) => [space.prefix, space]));
  return configuration.spaces.flatMap((space, i) => {
    const earlier = before.get(Configurations.prefixOf(space));
    const isWhole = space.program[0]!.contract.order === "space";
    if (earlier === undefined || earlier.isWhole === isWhole) return [];
    const order = earlier.isWhole ? "space" : "sender or topic";
    const problem = `space ${space.name} keeps order ${order} while it exists; remove the space and create it again`;
    return [{ path: `spaces.${i}.program.0.owe.order`, problem }];
  });
}

/** A configuration that was sent alone is compared with the one in force, whatever document came with that. */
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
