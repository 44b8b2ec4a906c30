import { EventEmitter } from "node:events";
import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { PublisherOrder } from "./publisherOrder.js";

/** A message that is not above its publisher's one before it. */
export interface OrderFault {
  readonly message: StreamMessage;
  readonly last: number;
}

/**
 * The newest messages of a stream that this edge has heard of, shared by all its connections.
 * Invariants: `messages` are contiguous and end at `head`, whatever was heard or missed; within one incarnation
 * `head` only rises; it is known only while its leader has confirmed that it owes the stream.
 */
export class StreamTail extends EventEmitter<{
  grown: [];
  ended: [fault: string];
  disorder: [fault: OrderFault];
}> {
  static readonly maxMessages = 400;
  static readonly maxBytes = 2 * 1024 * 1024;

  readonly route: StreamRoute;
  readonly shard: number;
  incarnation = "";
  head = 0;
  low = 0;
  messages: StreamMessage[] = [];
  #bytes = 0;
  isKnown = false;
  /** In which incarnation a replica near this edge pushes it; empty where the leader does. */
  servedIncarnation = "";
  users = 0;
  /** Whether the configuration in force keeps nothing of the stream: then its leader alone has it. */
  keepsNothing = false;
  /** Of the messages in this incarnation: what its leader takes is in each publisher's order. */
  readonly #order = new PublisherOrder();

  constructor(route: StreamRoute, shard: number) {
    super();
    this.setMaxListeners(0);
    this.route = route;
    this.shard = shard;
  }

  /** The stream's key. */
  get stream(): string {
    return this.route.stream;
  }

  /** One sequence over all the space's topics. */
  get isWhole(): boolean {
    return this.route.spaceIncarnation > 0;
  }

  /** The message after an offset, if it is here. */
  after(seq: number): StreamMessage | undefined {
    const first = this.messages[0];
    return first === undefined || seq + 1 < first.seq ? undefined : this.messages[seq + 1 - first.seq];
  }

  /** The leader pushes what comes after `from`. What lies before it and was not heard is for readers to fetch. */
  onHead(incarnation: string, from: number, low: number): void {
    if (incarnation !== this.incarnation) this.#startIncarnation(incarnation);
    this.low = Math.max(low, this.low);
    if (from > this.head) this.#skipTo(from);
    this.isKnown = true;
    this.emit("grown");
  }

  /** Appends pushed messages; repeats are left out, and a gap drops what came before it. */
  extend(incarnation: string, messages: readonly StreamMessage[]): void {
    if (incarnation !== this.incarnation) return;
    const fresh = messages.filter((message) => message.seq > this.head);
    if (fresh.length === 0) return;
    if (fresh[0]!.seq !== this.head + 1) this.#clear();
    for (const message of fresh) {
      const last = this.#order.faultOf(message, message.at);
      if (last !== undefined) this.emit("disorder", { message, last });
      this.messages.push(message);
      this.#bytes += message.payload.length;
    }
    this.head = fresh.at(-1)!.seq;
    while (this.messages.length > StreamTail.maxMessages || this.#bytes > StreamTail.maxBytes)
      this.#bytes -= this.messages.shift()!.payload.length;
    this.emit("grown");
  }

  /** The leader no longer has the stream: readers are told why. */
  end(fault: string): void {
    this.isKnown = false;
    this.emit("ended", fault);
  }

  #startIncarnation(incarnation: string): void {
    this.#order.clear();
    this.incarnation = incarnation;
    this.head = 0;
    this.low = 0;
    this.isKnown = false;
    this.#clear();
  }

  #skipTo(head: number): void {
    this.#clear();
    this.head = head;
  }

  #clear(): void {
    this.messages = [];
    this.#bytes = 0;
  }
}
