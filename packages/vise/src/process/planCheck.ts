import { Plans } from "@cranetrack/chest/mark/plan.js";
import { PlanKey } from "@cranetrack/chest/mark/planKey.js";
import type { StoreClient } from "@cranetrack/chest/process/storeClient.js";
import type { TopicFault } from "../mark/topicFault.js";

/**
 * Whether a space that this edge has not heard of is unknown: the store is asked, for an edge refuses nothing
 * from its cache.
 * Invariant: an answer comes from a read that began after the question.
 */
export class PlanCheck {
  readonly #store: Pick<StoreClient, "read">;
  #running: Promise<ReadonlySet<string> | undefined> | undefined;
  #next: Promise<ReadonlySet<string> | undefined> | undefined;

  constructor(store: Pick<StoreClient, "read">) {
    this.#store = store;
  }

  async faultOf(topic: string): Promise<TopicFault> {
    const spaces = await this.#spaces();
    if (spaces?.has(Plans.spaceOf(topic)) === false)
      return { topic, code: "unknown-topic", reason: `the plan in force has no rule for ${topic}` };
    const reason = spaces === undefined ? "the store does not answer" : "this node has not heard of the space yet";
    return { topic, code: "unavailable", reason, comeBack: 0.3 };
  }

  /** Questions that come during a read share the next one. */
  #spaces(): Promise<ReadonlySet<string> | undefined> {
    if (this.#running === undefined) return (this.#running = this.#read());
    this.#next ??= this.#running.then(() => {
      this.#next = undefined;
      return (this.#running = this.#read());
    });
    return this.#next;
  }

  async #read(): Promise<ReadonlySet<string> | undefined> {
    const read = await this.#store.read([PlanKey.name]);
    if (this.#next === undefined) this.#running = undefined;
    if (read.outcome !== "done") return undefined;
    const plan = read.kvs?.[0];
    return new Set(plan === undefined ? [] : PlanKey.outline(plan.value)?.spaces);
  }
}
