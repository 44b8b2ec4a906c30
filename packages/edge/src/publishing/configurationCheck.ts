import { ConfigurationKey, type SpaceOutline } from "@cranetrack/core/keys/configurationKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { PrefixIndex } from "@cranetrack/core/configuration/prefixIndex.js";
import type { TopicFault } from "../subscriptions/topicFault.js";

type Prefixes = PrefixIndex<SpaceOutline>;

/**
 * Whether a topic whose space is not in this edge's configuration is unknown: the metadata store is asked, for an edge
 * refuses nothing from its cache.
 * Invariant: an answer comes from a read that began after the question.
 */
export class ConfigurationCheck {
  readonly #store: Pick<StoreClient, "read">;
  #running: Promise<Prefixes | undefined> | undefined;
  #next: Promise<Prefixes | undefined> | undefined;
  /** What was read last: edges that have just started ask again and again, and a configuration may be large. */
  #latest: { revision: number; prefixes: Prefixes } | undefined;

  constructor(store: Pick<StoreClient, "read">) {
    this.#store = store;
  }

  /** Why a topic without a route can't be served: `unknown-topic` for good, or `unavailable` for now. */
  async faultOf(topic: string): Promise<TopicFault> {
    const prefixes = await this.#prefixes();
    if (prefixes !== undefined && prefixes.longest(topic) === undefined)
      return { topic, code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` };
    const reason = prefixes === undefined ? "the store does not answer" : "this node has not heard of the space yet";
    return { topic, code: "unavailable", reason, retryAfterSeconds: 0.3 };
  }

  /** Questions that come during a read share the next one. */
  #prefixes(): Promise<Prefixes | undefined> {
    if (this.#running === undefined) return (this.#running = this.#read());
    this.#next ??= this.#running.then(() => {
      this.#next = undefined;
      return (this.#running = this.#read());
    });
    return this.#next;
  }

  async #read(): Promise<Prefixes | undefined> {
    const read = await this.#store.read([ConfigurationKey.name]);
    if (this.#next === undefined) this.#running = undefined;
    if (read.outcome !== "done") return undefined;
    const configuration = read.kvs?.[0];
    const revision = configuration?.revision ?? 0;
    if (this.#latest?.revision === revision) return this.#latest.prefixes;
    const spaces =
      (configuration === undefined ? undefined : ConfigurationKey.outline(configuration.value)?.spaces) ?? [];
    const prefixes: Prefixes = new PrefixIndex(spaces, ({ prefix }) => prefix);
    this.#latest = { revision, prefixes };
    return prefixes;
  }
}
