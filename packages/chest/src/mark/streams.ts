import { Plans, type Order, type Plan } from "./plan.js";

/** Where a topic's messages go: a pure function of its space's order and birth. */
export interface StreamRoute {
  stream: string;
  space: string;
  spaceBirth: number;
}

/**
 * The unit of order, sequence, following and cursor: a topic, where its space's order is `sender`; the whole
 * space, where it is `one`.
 */
export const Streams = {
  of(topic: string, order: Order): string {
    return order === "one" ? Plans.spaceOf(topic) : topic;
  },

  /** A topic has a slash and a space has none. */
  spaceOf(stream: string): string {
    return stream.includes("/") ? Plans.spaceOf(stream) : stream;
  },

  /** Undefined where this plan does not have the space. */
  route(plan: Plan | undefined, births: Record<string, number>, topic: string): StreamRoute | undefined {
    const space = Plans.spaceOf(topic);
    const order = Plans.orderOf(plan, space);
    const spaceBirth = births[space];
    if (order === undefined || spaceBirth === undefined) return undefined;
    return { stream: Streams.of(topic, order), space, spaceBirth };
  },

  /** A stream's birth: its space's, and something that no other stream and no later life of this one has. */
  birth(spaceBirth: number, identity: string): string {
    return `${spaceBirth.toString(16)}-${identity.slice(0, 10)}`;
  },

  /** The birth of the space in a stream's birth; 0 where it is none of ours. */
  spaceBirthOf(birth: string): number {
    const found = /^([0-9a-f]{1,14})-[0-9a-f]{6,20}$/.exec(birth);
    return found === null ? 0 : Number.parseInt(found[1]!, 16);
  },
};
