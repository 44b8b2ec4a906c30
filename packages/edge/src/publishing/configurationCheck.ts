import { ConfigurationKey, type SpaceOutline } from "@cranetrack/core/keys/configurationKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { PrefixIndex } from "@cranetrack/core/configuration/prefixIndex.js";
import type { TopicFault } from "../subscriptions/topicFault.js";

/** What the store has, as far as it tells which topics have a space. */
interface StoredSpaces {
  readonly revision: number;
  readonly version: number;
  readonly prefixes: PrefixIndex<SpaceOutline>;
}

/** Why a topic without a route can't be served. */
export interface RouteFault extends TopicFault {
  /** The version that has a space for it, where the store has one; then the topic is not unknown. */
  unheardVersion?: number;
}

/**
 * Whether a topic whose space is not in this edge's configuration is unknown: the metadata store is asked, for an edge
 * refuses nothing from its cache.
 * Invariant: an answer comes from a read that began after the question.
 */
export class ConfigurationCheck {
  readonly #store: Pick<StoreClient, "read">;
  #running: Promise<StoredSpaces | undefined> | undefined;
  #next: Promise<StoredSpaces | undefined> | undefined;
  /** What was read last: edges that have just started ask again and again, and a configuration may be large. */
  #latest: StoredSpaces | undefined;

  constructor(store: Pick<StoreClient, "read">) {
    this.#store = store;
  }

  /** Why a topic without a route can't be served: `unknown-topic` for good, or `unavailable` for now. */
  async faultOf(topic: string): Promise<RouteFault> {
    const stored = await this.#spaces();
    const unavailable = { topic, code: "unavailable", retryAfterSeconds: 0.3 };
    if (stored === undefined) return { ...unavailable, reason: "the store does not answer" };
    if (stored.prefixes.longest(topic) === undefined)
      return { topic, code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` };
    const reason = "this node has not heard of the space yet";
    return { ...unavailable, reason, unheardVersion: stored.version };
  }

  /** Questions that come during a read share the next one. */
  #spaces(): Promise<StoredSpaces | undefined> {
    if (this.#running === undefined) return (this.#running = this.#read());
    this.#next ??= this.#running.then(() => {
      this.#next = undefined;
      return (this.#running = this.#read());
    });
    return this.#next;
  }

  async #read(): Promise<StoredSpaces | undefined> {
    const read = await this.#store.read([ConfigurationKey.name]);
    if (this.#next === undefined) this.#running = undefined;
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
