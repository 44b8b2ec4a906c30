import { PlanKey } from "@cranetrack/core/keys/configurationKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import type { TopicFault } from "./topicFault.js";

/**
 * Whether a space that this edge has not heard of is unknown: the store is asked, for an edge refuses nothing
 * from its cache.
 * Invariant: an answer comes from a read that began after the question.
 */
export class PlanCheck {
  readonly #store: Pick<StoreClient, "read">;
  #running: Promise<readonly string[] | undefined> | undefined;
  #next: Promise<readonly string[] | undefined> | undefined;

  constructor(store: Pick<StoreClient, "read">) {
    this.#store = store;
  }

  async faultOf(topic: string): Promise<TopicFault> {
    const prefixes = await this.#prefixes();
    if (prefixes?.some((prefix) => topic.startsWith(prefix)) === false)
      return { topic, code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` };
    const reason = prefixes === undefined ? "the store does not answer" : "this node has not heard of the space yet";
    return { topic, code: "unavailable", reason, comeBack: 0.3 };
  }

  /** Questions that come during a read share the next one. */
  #prefixes(): Promise<readonly string[] | undefined> {
    if (this.#running === undefined) return (this.#running = this.#read());
    this.#next ??= this.#running.then(() => {
      this.#next = undefined;
      return (this.#running = this.#read());
    });
    return this.#next;
  }

  async #read(): Promise<readonly string[] | undefined> {
    const read = await this.#store.read([PlanKey.name]);
    if (this.#next === undefined) this.#running = undefined;
    if (read.outcome !== "done") return undefined;
    const plan = read.kvs?.[0];
    return (plan === undefined ? [] : PlanKey.outline(plan.value)?.spaces)?.map(({ prefix }) => prefix) ?? [];
  }
}
