import { PrefixIndex } from "./prefixIndex.js";

/** `sender` and `topic` give each topic one sequence, which `topic` promises; `space` gives one to a whole space. */
export type Order = "sender" | "topic" | "space";

export interface TopicContract {
  /** Seconds; 0 keeps nothing. */
  keep: number;
  order: Order;
  fault_budget: { machines?: number; zones?: number };
  publishers?: string[];
  maxBytes?: number;
}
export interface Space {
  name: string;
  /** Each topic that starts with it is the space's, unless a longer one of another space fits too. */
  prefix?: string;
  /** How long a call may wait. */
  deadlineMs?: number;
  program: Array<{ when: { topic?: string; topicPrefix?: string }; contract: TopicContract }>;
}
export interface Configuration {
  version: number;
  spaces: Space[];
  limits?: { subscriptions?: number; payloadBytes?: number };
}
export type ConfigurationRead = { configuration: Configuration } | { faults: ConfigurationFault[] };
export interface ConfigurationFault {
  path: string;
  problem: string;
}

/**
 * Made at the first question about a configuration. Invariant: a configuration that was asked about is never changed.
 */
const indexes = new WeakMap<Configuration, PrefixIndex<Space>>();

function indexOf(configuration: Configuration): PrefixIndex<Space> {
  const index =
    indexes.get(configuration) ?? new PrefixIndex(configuration.spaces, (space) => Configurations.prefixOf(space));
  indexes.set(configuration, index);
  return index;
}

/** The operators' configuration: data, checked whole where it is put, judged by pure functions on every node. */
export const Configurations = {
  /** Of a configuration, and of the operators' document about it: 5,000 routes have about 1.2 MB. */
  maxBytes: 4 * 1024 * 1024,
  maxSpaces: 16_384,
  /** Bytes of a payload, and topics of a connection, where the configuration names no other limit. */
  usualPayloadBytes: 65_536,
  usualSubscriptions: 500,

  /** What identifies a space: a space of another prefix is another space, whatever it is called. */
  prefixOf(space: { name: string; prefix?: string }): string {
    return space.prefix ?? `${space.name}/`;
  },

  /** The space that owns a topic: the longest prefix wins. */
  spaceOf(configuration: Configuration | undefined, topic: string): Space | undefined {
    return configuration === undefined ? undefined : indexOf(configuration).longest(topic);
  },

  isTopic(topic: unknown): topic is string {
    return typeof topic === "string" && /^[\x21-\x7e]{1,200}$/.test(topic);
  },

  /** The order of the space with this prefix. Its rules may differ between `sender` and `topic` only. */
  orderOf(configuration: Configuration | undefined, prefix: string): Order | undefined {
    return configuration === undefined ? undefined : indexOf(configuration).get(prefix)?.program[0]?.contract.order;
  },

  /** What the configuration owes a topic: its space's first rule that matches; undefined where none does. */
  contractFor(configuration: Configuration | undefined, topic: string): TopicContract | undefined {
    const space = Configurations.spaceOf(configuration, topic);
    if (space === undefined) return undefined;
    const rest = topic.slice(Configurations.prefixOf(space).length);
    const rule = space.program.find(
      ({ when: cond }) =>
        (cond.topic === undefined || cond.topic === rest) &&
        (cond.topicPrefix === undefined || rest.startsWith(cond.topicPrefix)),
    );
    return rule?.contract;
  },

  /**
   * Bytes that a message under this contract may have: the configuration's limit holds for all, whatever a contract
   * allows.
   */
  maxPayload(configuration: Configuration | undefined, contract: TopicContract): number {
    return Math.min(
      contract.maxBytes ?? Configurations.usualPayloadBytes,
      configuration?.limits?.payloadBytes ?? Infinity,
    );
  },

  /** Topics that one connection may have. */
  maxSubscriptions(configuration: Configuration | undefined): number {
    return configuration?.limits?.subscriptions ?? Configurations.usualSubscriptions;
  },

  mayPublish(contract: TopicContract, session: string): boolean {
    return (
      contract.publishers === undefined ||
      contract.publishers.some((one) => one === session || (one.endsWith("*") && session.startsWith(one.slice(0, -1))))
    );
  },
};
