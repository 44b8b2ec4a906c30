import type { IncarnationsRecord } from "../keys/incarnationsKey.js";
import { PrefixIndex } from "./prefixIndex.js";
import { Configurations, type Order, type Configuration } from "./configuration.js";

/** Where a topic's messages go: a pure function of the topic, its space's order and the incarnations. */
export interface StreamRoute {
  stream: string;
  /** The space's prefix. */
  space: string;
  /** Where the whole space is one stream, since which version it has its topics; 0 for a topic's own stream. */
  spaceIncarnation: number;
}

/**
 * The unit of order, sequence, following and cursor: a topic or, where its space's order is `space`, the whole
 * space. A topic's stream is named after the topic alone: routes say how it is kept, for how long, and whether it may
 * be used, never which stream it is. The name of a whole space's stream has the length of the space's prefix; streams
 * that an earlier release made keep the length that they were named with (`IncarnationsRecord.roots`).
 */
export const Streams = {
  of(root: string, topic: string, order: Order): string {
    return `${root.length}:${order === "space" ? root : topic}`;
  },

  /** The prefix that the stream's name has the length of; empty for a topic's own stream. */
  rootOf(stream: string): string {
    return Streams.topicOf(stream).slice(0, Number.parseInt(stream, 10) || 0);
  },

  /** The topic, or the prefix where the whole space is the stream. */
  topicOf(stream: string): string {
    return stream.slice(stream.indexOf(":") + 1);
  },

  /** Undefined where this configuration has no space for the topic. */
  route(
    configuration: Configuration | undefined,
    incarnations: IncarnationsRecord | undefined,
    topic: string,
  ): StreamRoute | undefined {
    const found = Configurations.spaceOf(configuration, topic);
    const order = found?.program[0]?.contract.order;
    if (found === undefined || order === undefined || incarnations === undefined) return undefined;
    const space = Configurations.prefixOf(found);
    if (order !== "space") {
      const root = earlierRootsIn(incarnations)?.longest(topic)?.[1] ?? "";
      return { stream: Streams.of(root, topic, order), space, spaceIncarnation: 0 };
    }
    const { spaces } = incarnations;
    if (!Object.hasOwn(spaces, space)) return undefined;
    return { stream: Streams.of(space, topic, order), space, spaceIncarnation: spaces[space]! };
  },

  /** Whether this configuration has the stream for all of its space's topics. */
  isWhole(configuration: Configuration | undefined, stream: string): boolean {
    return orderOf(configuration, stream) === "space";
  },

  /**
   * The space's incarnation that a stream must have to be in force; undefined where the configuration has no such
   * stream.
   */
  spaceIncarnationIn(
    configuration: Configuration | undefined,
    incarnations: IncarnationsRecord | undefined,
    stream: string,
  ): number | undefined {
    const route = Streams.route(configuration, incarnations, Streams.topicOf(stream));
    return route?.stream === stream ? route.spaceIncarnation : undefined;
  },

  /**
   * The incarnation of a stream in the log: its space's, 1 for a topic's own stream, and something that no other stream
   * and no later life of this one has.
   */
  incarnation(spaceIncarnation: number, identity: string): string {
    return `${Math.max(1, spaceIncarnation).toString(16)}-${identity.slice(0, 10)}`;
  },

  /** The incarnation of the space in a stream's incarnation; 0 where it is none of ours. */
  spaceIncarnationOf(incarnation: string): number {
    const found = /^([0-9a-f]{1,14})-[0-9a-f]{6,20}$/.exec(incarnation);
    return found === null ? 0 : Number.parseInt(found[1]!, 16);
  },
};

function orderOf(configuration: Configuration | undefined, stream: string): Order | undefined {
  return Configurations.spaceOf(configuration, Streams.topicOf(stream))?.program[0]?.contract.order;
}

type EarlierRoot = readonly [prefix: string, root: string];

/** Made at the first question about incarnations. Invariant: incarnations that were asked about are never changed. */
const indexes = new WeakMap<IncarnationsRecord, PrefixIndex<EarlierRoot>>();

/** Undefined where no stream is of an earlier release. */
function earlierRootsIn(incarnations: IncarnationsRecord): PrefixIndex<EarlierRoot> | undefined {
  const known = indexes.get(incarnations);
  if (known !== undefined) return known;
  const roots = Object.entries(incarnations.roots);
  if (roots.length === 0) return undefined;
  const index = new PrefixIndex<EarlierRoot>(roots, ([prefix]) => prefix);
  indexes.set(incarnations, index);
  return index;
}
