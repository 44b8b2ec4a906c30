import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { PublisherOrder } from "../fanout/publisherOrder.js";

/** A message that is about to be delivered, and how its topic's stream is kept. */
interface Delivery {
  readonly message: StreamMessage;
  /** The stream is in memory, where a new leader does not know which numbers the earlier one accepted. */
  readonly isInMemory: boolean;
  /** Milliseconds, of the caller's clock. */
  readonly now: number;
}

/**
 * By topic, the publishers' numbers that one connection has received since the topic's stream was first in memory. A
 * number is known for as long as it may be repeated, also when its topic gets another cursor on the connection.
 */
export class DeliveredNumbers {
  readonly #repeatWindowMs: number;
  readonly #orders = new Map<string, PublisherOrder>();

  /** `repeatWindowMs`: how long after a number was first sent it may be accepted again, in milliseconds. */
  constructor(repeatWindowMs: number) {
    this.#repeatWindowMs = repeatWindowMs;
  }

  /**
   * Whether the message, or a later one of its publisher, was already delivered in an earlier incarnation; otherwise
   * its number counts as delivered. It comes again when its client got no reply and sent the number once more, and a
   * new leader or the log, which does not know the first attempt, accepted it.
   */
  isRepeat({ message, isInMemory, now }: Delivery): boolean {
    let order = this.#orders.get(message.topic);
    if (order === undefined && !isInMemory) return false;
    if (order === undefined) this.#orders.set(message.topic, (order = new PublisherOrder(this.#repeatWindowMs)));
    return order.checkNumber(message, now) !== undefined;
  }

  /** Forgets a topic whose subscription the client has ended: the next one may start before what was delivered. */
  forget(topic: string): void {
    this.#orders.delete(topic);
  }
}
