import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { contentDigest, contentKind } from "@cranetrack/core/configuration/contentDigest.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedOrderKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";

/** A whole configuration under a version, as an operator sent it. */
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

export type ConfigurationChangeDecision =
  /** Acknowledged before with this very content. */
  | { kind: "taken"; revision: number }
  /** Acknowledged before, or held, with another content: this one never will be. */
  | { kind: "taken-by-other"; versionInForce: number }
  /** Below what is in force; which content it had, if any, may be forgotten. */
  | { kind: "forgotten"; versionInForce: number }
  /** Below what is in force and never acknowledged. */
  | { kind: "superseded"; versionInForce: number }
  /** Above what is in force. */
  | { kind: "newer" };

/**
 * What an order is to the store: a question about what the operator sent and what was committed, and nothing else.
 * Neither settings nor the fleet's state come into it, so every node has the same answer.
 */
export function decideConfigurationChange(
  change: ConfigurationChange,
  inputs: ConfigurationChangeInputs,
): ConfigurationChangeDecision {
  const versionInForce =
    inputs.configuration === undefined ? 0 : ConfigurationKey.versionOf(inputs.configuration.value);
  const isInForce = inputs.configuration !== undefined && versionInForce === change.version;
  if (isInForce && isContentInForce(change, inputs)) return { kind: "taken", revision: inputs.configuration!.revision };
  if (inputs.record !== undefined)
    return isEqual(inputs.record.value, contentDigestOf(change))
      ? { kind: "taken", revision: inputs.record.revision }
      : { kind: "taken-by-other", versionInForce };
  if (isInForce) return { kind: "taken-by-other", versionInForce };
  if (change.version > versionInForce) return { kind: "newer" };
  return { kind: change.version <= inputs.floor ? "forgotten" : "superseded", versionInForce };
}

export function contentDigestOf({ body, document }: ConfigurationChange): Uint8Array {
  return document === undefined
    ? contentDigest(contentKind.configuration, body)
    : contentDigest(contentKind.document, document);
}

/** What the store is asked for; the document comes on top where there is no record. */
export const ConfigurationChangeKeys = {
  of(version: number): string[] {
    return [ConfigurationKey.name, AcceptedChangeKey.of(version), AcceptedChangeKey.floor];
  },

  read(version: number, kvs: readonly Kv[]): ConfigurationChangeInputs {
    const find = (key: string): Kv | undefined => kvs.find((kv) => kv.key === key);
    return {
      configuration: find(ConfigurationKey.name),
      document: find(DocumentKey.name),
      record: find(AcceptedChangeKey.of(version)),
      floor: AcceptedChangeKey.readFloor(find(AcceptedChangeKey.floor)?.value),
    };
  },
};

/**
 * The content in force tells by itself; a configuration sent alone asks for the configuration, whatever document came
 * with it.
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
