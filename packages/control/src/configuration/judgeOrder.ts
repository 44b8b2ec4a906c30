import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { contentDigest, contentKind } from "@cranetrack/core/configuration/contentDigest.js";
import { AcceptedChangeKey } from "@cranetrack/core/keys/acceptedChangeKey.js";
import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { DocumentKey } from "@cranetrack/core/keys/documentKey.js";

/** A whole configuration under a version, as an operator sent it. */
export interface Order {
  version: number;
  body: Uint8Array;
  /** The operators' own document, of which `body` is this node's translation; none where the body is what was sent. */
  document: Uint8Array | undefined;
}

/** What the store knows about the configuration in force and about one version; a confirmed read. */
export interface OrderFacts {
  configuration: Kv | undefined;
  document: Kv | undefined;
  record: Kv | undefined;
  /** Up to this version it may be forgotten which content was acknowledged. */
  floor: number;
}

export type OrderStanding =
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
export function judgeOrder(order: Order, facts: OrderFacts): OrderStanding {
  const versionInForce = facts.configuration === undefined ? 0 : ConfigurationKey.versionOf(facts.configuration.value);
  const isInForce = facts.configuration !== undefined && versionInForce === order.version;
  if (isInForce && isSameAsHeld(order, facts)) return { kind: "taken", revision: facts.configuration!.revision };
  if (facts.record !== undefined)
    return isEqual(facts.record.value, digestOf(order))
      ? { kind: "taken", revision: facts.record.revision }
      : { kind: "taken-by-other", versionInForce };
  if (isInForce) return { kind: "taken-by-other", versionInForce };
  if (order.version > versionInForce) return { kind: "newer" };
  return { kind: order.version <= facts.floor ? "forgotten" : "superseded", versionInForce };
}

export function digestOf({ body, document }: Order): Uint8Array {
  return document === undefined
    ? contentDigest(contentKind.configuration, body)
    : contentDigest(contentKind.document, document);
}

/** What the store is asked for; the document comes on top where there is no record. */
export const OrderFactKeys = {
  of(version: number): string[] {
    return [ConfigurationKey.name, AcceptedChangeKey.of(version), AcceptedChangeKey.floor];
  },

  read(version: number, kvs: readonly Kv[]): OrderFacts {
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
function isSameAsHeld({ body, document }: Order, facts: OrderFacts): boolean {
  if (document === undefined)
    return isEqual(
      contentDigest(contentKind.configuration, facts.configuration!.value),
      contentDigest(contentKind.configuration, body),
    );
  const held = facts.document?.value;
  return (
    held !== undefined &&
    isEqual(contentDigest(contentKind.document, held), contentDigest(contentKind.document, document))
  );
}

function isEqual(a: Uint8Array, b: Uint8Array): boolean {
  return Buffer.compare(a, b) === 0;
}
