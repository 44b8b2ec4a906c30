import { ConfigurationKey, type SpaceOutline } from "@cranetrack/core/keys/configurationKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { PrefixIndex } from "@cranetrack/core/configuration/prefixIndex.js";
import type { TopicFault } from "../subscriptions/topicFault.js";

/** The spaces of the configuration in the metadata store. */
interface StoredSpaces {
  /** Revision of the configuration's key. */
  readonly revision: number;
  /** Version of the configuration. */
  readonly version: number;
  readonly prefixes: PrefixIndex<SpaceOutline>;
}

/** Why a topic that has no route at this edge can't be served. */
export interface RouteFault extends TopicFault {
  /** Version of the store's configuration if that has a space for the topic, which this edge has yet to receive. */
  versionWithSpace?: number;
}

/**
 * Decides whether a topic without a space in this edge's configuration is unknown. It reads the metadata store, as an
 * edge must not refuse a topic because of its cached configuration.
 * Invariant: each answer comes from a read that began after the question.
 */
export class ConfigurationCheck {
  readonly #store: Pick<StoreClient, "read">;
  /** The read in progress. */
  #currentRead: Promise<StoredSpaces | undefined> | undefined;
  /** The read that begins after the one in progress, shared by the questions that arrived meanwhile. */
  #nextRead: Promise<StoredSpaces | undefined> | undefined;
  /** The result of the last read: edges that have just started ask repeatedly, and a configuration may be large. */
  #latest: StoredSpaces | undefined;

  constructor(store: Pick<StoreClient, "read">) {
    this.#store = store;
  }

  /** Why a topic without a route can't be served: `unknown-topic` (permanent) or `unavailable` (temporary). */
  async faultOf(topic: string): Promise<RouteFault> {
    const stored = await this.#spaces();
    const unavailable = { topic, code: "unavailable", retryAfterSeconds: 0.3 };
    if (stored === undefined) return { ...unavailable, reason: "the store does not answer" };
    if (stored.prefixes.longest(topic) === undefined)
      return { topic, code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` };
    const reason = "this node has not heard of the space yet";
    return { ...unavailable, reason, versionWithSpace: stored.version };
  }

  /** Reads the spaces. Questions that arrive during a read share the next one. */
  #spaces(): Promise<StoredSpaces | undefined> {
    if (this.#currentRead === undefined) return (this.#currentRead = this.#read());
    this.#nextRead ??= this.#currentRead.then(() => {
      this.#nextRead = undefined;
      return (this.#currentRead = this.#read());
    });
    return this.#nextRead;
  }

  async #read(): Promise<StoredSpaces | undefined> {
    const read = await this.#store.read([ConfigurationKey.name]);
    if (this.#nextRead === undefined) this.#currentRead = undefined;
    if (read.outcome !== "done") return undefined;
    const configuration = read.kvs?.[0];
    const revision = configuration?.revision ?? 0;
    if (this.#latest?.revision === revision) return this.#latest;
    const outline = configuration === undefined ? undefined : ConfigurationKey.outline(configuration.value);
    const prefixes = new PrefixIndex(outline?.spaces ?? [], ({ prefix }) => prefix);
    this.#latest = { revision, version: outline?.version ?? 0, prefixes };
    return this.#latest;
  }
}
