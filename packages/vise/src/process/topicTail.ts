import { EventEmitter } from "node:events";
import type { TopicMessage } from "@cranetrack/chest/gen/cranetrack_pb.js";

/**
 * The newest messages of a topic that this edge has heard of, shared by all its subscriptions.
 * Invariants: `messages` are contiguous and end at `head`; within one birth `head` only rises.
 */
export class TopicTail extends EventEmitter<{ grown: []; known: []; ended: [fault: string]; away: [] }> {
  static readonly most = 400;
  static readonly mostBytes = 2 * 1024 * 1024;

  readonly topic: string;
  readonly shard: number;
  birth = "";
  head = 0;
  low = 0;
  messages: TopicMessage[] = [];
  #bytes = 0;
  isKnown = false;
  users = 0;

  constructor(topic: string, shard: number) {
    super();
    this.setMaxListeners(0);
    this.topic = topic;
    this.shard = shard;
  }

  /** The message after a place, if it is here. */
  after(seq: number): TopicMessage | undefined {
    const first = this.messages[0];
    return first === undefined || seq + 1 < first.seq ? undefined : this.messages[seq + 1 - first.seq];
  }

  learn(birth: string, head: number, low: number): void {
    if (birth !== this.birth) this.#reborn(birth);
    this.low = Math.max(low, this.low);
    if (!this.isKnown) this.head = Math.max(this.head, head);
    this.isKnown = true;
    this.emit("known");
    if (head > this.head && head - this.head > TopicTail.most) this.#skipTo(head);
    this.emit("grown");
  }

  extend(birth: string, messages: TopicMessage[]): void {
    if (birth !== this.birth) return;
    const fresh = messages.filter((message) => message.seq > this.head);
    if (fresh.length === 0) return;
    if (fresh[0]!.seq !== this.head + 1) this.#clear();
    for (const message of fresh) {
      this.messages.push(message);
      this.#bytes += message.payload.length;
    }
    this.head = fresh.at(-1)!.seq;
    while (this.messages.length > TopicTail.most || this.#bytes > TopicTail.mostBytes)
      this.#bytes -= this.messages.shift()!.payload.length;
    this.emit("grown");
  }

  end(fault: string): void {
    this.isKnown = false;
    this.emit("ended", fault);
  }

  away(): void {
    this.emit("away");
  }

  #reborn(birth: string): void {
    this.birth = birth;
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
