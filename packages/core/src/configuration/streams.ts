import type { IncarnationsRecord } from "../keys/incarnationsKey.js";
import { PrefixIndex } from "./prefixIndex.js";
import { Configurations, type Order, type Configuration } from "./configuration.js";

/** The stream of a topic: a pure function of the topic, the configuration and the incarnations. */
export interface StreamRoute {
  stream: string;
  /** The space's prefix. */
  space: string;
  /** If the whole space is one stream, the version since which it has its topics; 0 for a topic's own stream. */
  spaceIncarnation: number;
}

/**
 * The unit of order, sequence, following and cursor: a topic or, where its space's order is `space`, the whole
 * space. A topic's stream is named after the topic alone: routes decide whether it may be used and how long it is
 * kept, never which stream it is. The name of a whole space's stream contains the length of the space's prefix; streams
 * of an earlier release keep the length in their name (`IncarnationsRecord.roots`).
 */
export const Streams = {
  /** The name of a topic's stream; `root` is the prefix whose length becomes part of the name. */
  of(root: string, topic: string, order: Order): string {
    return `${root.length}:${order === "space" ? root : topic}`;
  },

  /** The prefix whose length is in the stream's name; empty for a topic's own stream. */
  rootOf(stream: string): string {
    return Streams.topicOf(stream).slice(0, Number.parseInt(stream, 10) || 0);
  },

  /** The topic, or the prefix where the whole space is the stream. */
  topicOf(stream: string): string {
    return stream.slice(stream.indexOf(":") + 1);
  },

  /** The stream of a topic; undefined if this configuration has no space for it. */
  route(
    configuration: Configuration | undefined,
    incarnations: IncarnationsRecord | undefined,
    topic: string,
  ): StreamRoute | undefined {
    const owner = Configurations.spaceOf(configuration, topic);
    const order = owner?.program[0]?.contract.order;
    if (owner === undefined || order === undefined || incarnations === undefined) return undefined;
    const space = Configurations.prefixOf(owner);
    if (order !== "space") {
      const root = earlierRootsIn(incarnations)?.longest(topic)?.[1] ?? "";
      return { stream: Streams.of(root, topic, order), space, spaceIncarnation: 0 };
    }
    const { spaces } = incarnations;
    if (!Object.hasOwn(spaces, space)) return undefined;
    return { stream: Streams.of(space, topic, order), space, spaceIncarnation: spaces[space]! };
  },

  /** Whether this configuration makes the stream's whole space one stream. */
  isWhole(configuration: Configuration | undefined, stream: string): boolean {
    return orderOf(configuration, stream) === "space";
  },

  /**
   * The space incarnation that a stream must have to be in force; undefined if the configuration has no such stream.
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
   * The incarnation of a stream in the log: the space incarnation (1 for a topic's own stream) and a random identity
   * that no other stream and no later incarnation of this one has.
   */
  incarnation(spaceIncarnation: number, identity: string): string {
    return `${Math.max(1, spaceIncarnation).toString(16)}-${identity.slice(0, 10)}`;
  },

  /** The space incarnation in a stream's incarnation; 0 if the text has another format. */
  spaceIncarnationOf(incarnation: string): number {
    const match = /^([0-9a-f]{1,14})-[0-9a-f]{6,20}$/.exec(incarnation);
    return match === null ? 0 : Number.parseInt(match[1]!, 16);
  },
};

function orderOf(configuration: Configuration | undefined, stream: string): Order | undefined {
  return Configurations.spaceOf(configuration, Streams.topicOf(stream))?.program[0]?.contract.order;
}

type EarlierRoot = readonly [prefix: string, root: string];

/** Built at the first lookup in incarnations. Invariant: incarnations are never changed after their first lookup. */
const earlierRootIndexes = new WeakMap<IncarnationsRecord, PrefixIndex<EarlierRoot>>();

/** The roots of streams of an earlier release, by prefix; undefined if there are none. */
function earlierRootsIn(incarnations: IncarnationsRecord): PrefixIndex<EarlierRoot> | undefined {
  const cached = earlierRootIndexes.get(incarnations);
  if (cached !== undefined) return cached;
  const roots = Object.entries(incarnations.roots);
  if (roots.length === 0) return undefined;
  const index = new PrefixIndex<EarlierRoot>(roots, ([prefix]) => prefix);
  earlierRootIndexes.set(incarnations, index);
  return index;
}
