import { PrefixIndex } from "./prefixIndex.js";

/** `sender` and `topic` give each topic one sequence, which `topic` promises; `space` gives one to a whole space. */
export type Order = "sender" | "topic" | "space";

export interface Owe {
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
  program: Array<{ when: { topic?: string; topicPrefix?: string }; owe: Owe }>;
}
export interface Plan {
  mark: number;
  spaces: Space[];
  limits?: { subscriptions?: number; payloadBytes?: number };
}
export type PlanRead = { plan: Plan } | { faults: PlanFault[] };
export interface PlanFault {
  path: string;
  problem: string;
}

/** Made at the first question about a plan. Invariant: a plan that was asked about is never changed. */
const indexes = new WeakMap<Plan, PrefixIndex<Space>>();

function indexOf(plan: Plan): PrefixIndex<Space> {
  const index = indexes.get(plan) ?? new PrefixIndex(plan.spaces, (space) => Plans.prefixOf(space));
  indexes.set(plan, index);
  return index;
}

/** The operators' configuration: data, checked whole where it is put, judged by pure functions on every node. */
export const Plans = {
  /** Of a plan, and of the operators' document about it: 5,000 routes have about 1.2 MB. */
  maxBytes: 4 * 1024 * 1024,
  maxSpaces: 16_384,
  /** Bytes of a payload, and topics of a connection, where the plan names no other limit. */
  usualPayloadBytes: 65_536,
  usualSubscriptions: 500,

  /** What identifies a space: a space of another prefix is another space, whatever it is called. */
  prefixOf(space: { name: string; prefix?: string }): string {
    return space.prefix ?? `${space.name}/`;
  },

  /** The space that owns a topic: the longest prefix wins. */
  spaceOf(plan: Plan | undefined, topic: string): Space | undefined {
    return plan === undefined ? undefined : indexOf(plan).longest(topic);
  },

  isTopic(topic: unknown): topic is string {
    return typeof topic === "string" && /^[\x21-\x7e]{1,200}$/.test(topic);
  },

  /** The order of the space with this prefix. Its rules may differ between `sender` and `topic` only. */
  orderOf(plan: Plan | undefined, prefix: string): Order | undefined {
    return plan === undefined ? undefined : indexOf(plan).get(prefix)?.program[0]?.owe.order;
  },

  /** What the plan owes a topic: its space's first rule that matches; undefined where none does. */
  owed(plan: Plan | undefined, topic: string): Owe | undefined {
    const space = Plans.spaceOf(plan, topic);
    if (space === undefined) return undefined;
    const rest = topic.slice(Plans.prefixOf(space).length);
    const rule = space.program.find(
      ({ when: cond }) =>
        (cond.topic === undefined || cond.topic === rest) &&
        (cond.topicPrefix === undefined || rest.startsWith(cond.topicPrefix)),
    );
    return rule?.owe;
  },

  /** Bytes that a message under this contract may have: the plan's limit holds for all, whatever a contract allows. */
  maxPayload(plan: Plan | undefined, owed: Owe): number {
    return Math.min(owed.maxBytes ?? Plans.usualPayloadBytes, plan?.limits?.payloadBytes ?? Infinity);
  },

  /** Topics that one connection may have. */
  maxSubscriptions(plan: Plan | undefined): number {
    return plan?.limits?.subscriptions ?? Plans.usualSubscriptions;
  },

  mayPublish(owed: Owe, session: string): boolean {
    return (
      owed.publishers === undefined ||
      owed.publishers.some((one) => one === session || (one.endsWith("*") && session.startsWith(one.slice(0, -1))))
    );
  },
};
