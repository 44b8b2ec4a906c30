import { PrefixIndex } from "./prefixIndex.js";

/** `sender` and `topic` give each topic one sequence, which `topic` promises; `space` gives one to a whole space. */
export type Order = "sender" | "topic" | "space";

/** What the operators promise for topics that a rule matches. */
export interface TopicContract {
  /** How long messages are kept, in seconds; 0 keeps none. */
  keep: number;
  order: Order;
  fault_budget: { machines?: number; zones?: number };
  publishers?: string[];
  maxBytes?: number;
}
/** A set of topics with a common prefix, and the rules (`program`) that give their contracts. */
export interface Space {
  name: string;
  /** Topics that start with it belong to the space, unless a longer prefix of another space matches. */
  prefix?: string;
  /** How long a call may wait, in milliseconds. */
  deadlineMs?: number;
  program: Array<{ when: { topic?: string; topicPrefix?: string }; contract: TopicContract }>;
}
/** The operators' configuration of all spaces. */
export interface Configuration {
  version: number;
  spaces: Space[];
  limits?: { subscriptions?: number; payloadBytes?: number };
}
/** A configuration that could be read, or why it could not. */
export type ConfigurationRead = { configuration: Configuration } | { faults: ConfigurationFault[] };
/** A problem of a configuration, at a path of dotted keys; the path is empty for the document as a whole. */
export interface ConfigurationFault {
  path: string;
  problem: string;
}

/**
 * Built at the first lookup in a configuration. Invariant: a configuration is never changed after its first lookup.
 */
const spaceIndexes = new WeakMap<Configuration, PrefixIndex<Space>>();

function spaceIndexOf(configuration: Configuration): PrefixIndex<Space> {
  const index =
    spaceIndexes.get(configuration) ?? new PrefixIndex(configuration.spaces, (space) => Configurations.prefixOf(space));
  spaceIndexes.set(configuration, index);
  return index;
}

/** Pure functions on the operators' configuration, which is checked in full when it is written. */
export const Configurations = {
  /** Largest configuration, and largest operators' document about it, in bytes: 5,000 routes take about 1.2 MB. */
  maxBytes: 4 * 1024 * 1024,
  maxSpaces: 16_384,
  /** Largest payload in bytes, and most topics of a connection, unless the configuration sets other limits. */
  defaultPayloadBytes: 65_536,
  defaultSubscriptions: 500,

  /** The prefix identifies a space: another prefix makes another space, whatever its name. */
  prefixOf(space: { name: string; prefix?: string }): string {
    return space.prefix ?? `${space.name}/`;
  },

  /** The space that owns a topic: the longest prefix wins. */
  spaceOf(configuration: Configuration | undefined, topic: string): Space | undefined {
    return configuration === undefined ? undefined : spaceIndexOf(configuration).longest(topic);
  },

  /** Whether a value is a valid topic: 1 to 200 printable ASCII characters without blanks. */
  isTopic(topic: unknown): topic is string {
    return typeof topic === "string" && /^[\x21-\x7e]{1,200}$/.test(topic);
  },

  /** The order of the space with this prefix. Its rules may differ between `sender` and `topic` only. */
  orderOf(configuration: Configuration | undefined, prefix: string): Order | undefined {
    return configuration === undefined
      ? undefined
      : spaceIndexOf(configuration).get(prefix)?.program[0]?.contract.order;
  },

  /** The contract of a topic: that of the first matching rule of its space; undefined if none matches. */
  contractFor(configuration: Configuration | undefined, topic: string): TopicContract | undefined {
    const space = Configurations.spaceOf(configuration, topic);
    if (space === undefined) return undefined;
    const topicInSpace = topic.slice(Configurations.prefixOf(space).length);
    const rule = space.program.find(
      ({ when: conditions }) =>
        (conditions.topic === undefined || conditions.topic === topicInSpace) &&
        (conditions.topicPrefix === undefined || topicInSpace.startsWith(conditions.topicPrefix)),
    );
    return rule?.contract;
  },

  /**
   * The largest payload under this contract, in bytes. The configuration's limit applies to all contracts, even to one
   * that allows more.
   */
  maxPayload(configuration: Configuration | undefined, contract: TopicContract): number {
    return Math.min(
      contract.maxBytes ?? Configurations.defaultPayloadBytes,
      configuration?.limits?.payloadBytes ?? Infinity,
    );
  },

  /** The most topics of one connection. */
  maxSubscriptions(configuration: Configuration | undefined): number {
    return configuration?.limits?.subscriptions ?? Configurations.defaultSubscriptions;
  },

  /** Whether a session may publish under a contract; a publisher that ends in `*` matches by prefix. */
  mayPublish(contract: TopicContract, session: string): boolean {
    return (
      contract.publishers === undefined ||
      contract.publishers.some(
        (pattern) => pattern === session || (pattern.endsWith("*") && session.startsWith(pattern.slice(0, -1))),
      )
    );
  },
};
