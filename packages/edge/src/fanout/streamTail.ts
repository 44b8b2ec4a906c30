import { EventEmitter } from "node:events";
import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { StreamRoute } from "@cranetrack/core/configuration/streams.js";
import { PublisherOrder } from "./publisherOrder.js";

/** A message whose number is not above the highest one that its publisher had in the topic before. */
export interface OrderFault {
  readonly message: StreamMessage;
  /** That highest number. */
  readonly last: number;
}

/**
 * The newest messages of a stream that this edge has received, shared by all its connections.
 * Invariants: `messages` are contiguous and end at `head`, whatever pushes were received or missed; within one
 * incarnation `head` only rises; `isConfirmed` is true only while the leader has confirmed that it has the stream.
 */
export class StreamTail extends EventEmitter<{
  grown: [];
  ended: [fault: string];
  disorder: [fault: OrderFault];
}> {
  /** Messages held at most. */
  static readonly maxMessages = 400;
  /** Bytes of payload held at most. */
  static readonly maxBytes = 2 * 1024 * 1024;

  readonly route: StreamRoute;
  readonly shard: number;
  /** Present incarnation of the stream; empty until the leader has named it. */
  incarnation = "";
  /** Sequence number of the newest message. */
  head = 0;
  /** Messages up to this sequence number have been deleted from the log. */
  low = 0;
  messages: StreamMessage[] = [];
  #bytes = 0;
  /** Whether the leader has confirmed that it has the stream, which it or a replica then pushes. */
  isConfirmed = false;
  /** The incarnation in which a nearby replica pushes the stream; empty if the leader pushes it. */
  replicaIncarnation = "";
  /** Calls of `StreamTable.acquire` that were not yet released. */
  userCount = 0;
  /** Whether the configuration in force stores nothing of the stream, so that only its leader has it, in memory. */
  keepsNothing = false;
  /** Checks the messages of this incarnation, which its leader accepts only in each publisher's order. */
  readonly #order = new PublisherOrder();

  constructor(route: StreamRoute, shard: number) {
    super();
    this.setMaxListeners(0);
    this.route = route;
    this.shard = shard;
  }

  /** The stream's identifier. */
  get stream(): string {
    return this.route.stream;
  }

  /** Whether the stream has all topics of its space in one sequence, rather than a single topic. */
  get isWhole(): boolean {
    return this.route.spaceIncarnation > 0;
  }

  /** The message after an offset, if the tail has it. */
  after(seq: number): StreamMessage | undefined {
    const first = this.messages[0];
    return first === undefined || seq + 1 < first.seq ? undefined : this.messages[seq + 1 - first.seq];
  }

  /** The leader has confirmed the stream and pushes the messages after `from`. Readers fetch those before it. */
  confirmHead(incarnation: string, from: number, low: number): void {
    if (incarnation !== this.incarnation) this.#startIncarnation(incarnation);
    this.low = Math.max(low, this.low);
    if (from > this.head) this.#skipTo(from);
    this.isConfirmed = true;
    this.emit("grown");
  }

  /** Appends pushed messages. Leaves out repeated ones; after a gap, drops the messages before it. */
  extend(incarnation: string, messages: readonly StreamMessage[]): void {
    if (incarnation !== this.incarnation) return;
    const newMessages = messages.filter((message) => message.seq > this.head);
    if (newMessages.length === 0) return;
    if (newMessages[0]!.seq !== this.head + 1) this.#clear();
    for (const message of newMessages) {
      const last = this.#order.checkNumber(message, message.at);
      if (last !== undefined) this.emit("disorder", { message, last });
      this.messages.push(message);
      this.#bytes += message.payload.length;
    }
    this.head = newMessages.at(-1)!.seq;
    while (this.messages.length > StreamTail.maxMessages || this.#bytes > StreamTail.maxBytes)
      this.#bytes -= this.messages.shift()!.payload.length;
    this.emit("grown");
  }

  /** The leader no longer has the stream: notifies the readers of the reason. */
  end(fault: string): void {
    this.isConfirmed = false;
    this.emit("ended", fault);
  }

  #startIncarnation(incarnation: string): void {
    this.#order.clear();
    this.incarnation = incarnation;
    this.head = 0;
    this.low = 0;
    this.isConfirmed = false;
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
