import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";

interface LastMessage {
  number: number;
  /** Milliseconds, of the caller's clock. */
  at: number;
}

/**
 * The order of each publisher in each topic: its numbers rise, whatever happens to who sequences them. Bounded: whoever
 * was silent longest is forgotten first. Leaders forget publishers that were silent for ten minutes, who may begin
 * anew, so what is older than half of that counts for nothing here.
 */
export class PublisherOrder {
  static readonly maxPublishers = 1000;
  static readonly rememberedMs = 300_000;

  readonly #last = new Map<string, LastMessage>();

  /** The number that this message's should be above, where it is not; else undefined, and the message is noted. */
  faultOf({ topic, session, number }: StreamMessage, now: number): number | undefined {
    // Neither part has a blank.
    const key = `${topic} ${session}`;
    const last = this.#last.get(key);
    const isLate = last !== undefined && number <= last.number && now - last.at < PublisherOrder.rememberedMs;
    this.#last.delete(key);
    this.#last.set(key, { number: isLate ? last.number : number, at: now });
    if (this.#last.size > PublisherOrder.maxPublishers) this.#forgetOne();
    return isLate ? last.number : undefined;
  }

  /** Forgets all publishers: numbers may begin anew. */
  clear(): void {
    this.#last.clear();
  }

  #forgetOne(): void {
    const [eldest] = this.#last.keys();
    this.#last.delete(eldest!);
  }
}
