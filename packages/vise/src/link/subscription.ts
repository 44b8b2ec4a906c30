import type { TopicMessage } from "@cranetrack/chest/gen/cranetrack_pb.js";
import type { Place } from "../mark/place.js";
import { Places } from "../mark/place.js";
import type { TopicTable } from "../process/topicTable.js";
import type { TopicTail } from "../process/topicTail.js";
import type { ClientLink } from "./clientLink.js";

/**
 * One topic on one link: delivers from the log by cursor, in order, each message once.
 * Invariants: `cursor` is the last message handed to the link and only rises within a birth; nothing is
 * delivered before the subscription was confirmed, or after it was stopped.
 */
export class Subscription {
  readonly topic: string;
  readonly #table: TopicTable;
  readonly #tail: TopicTail;
  readonly #link: ClientLink;
  /** False closes the link: nothing may be sent any more. */
  readonly #maySend: () => boolean;
  readonly #onEnd: () => void;
  readonly #grown = (): void => void this.#pump();
  readonly #ended = (fault: string): void => this.#end(fault);
  birth: string;
  cursor: number;
  #isPumping = false;
  #isStopped = false;

  constructor(parts: {
    table: TopicTable;
    tail: TopicTail;
    link: ClientLink;
    start: Place;
    maySend: () => boolean;
    onEnd: () => void;
  }) {
    this.topic = parts.tail.topic;
    this.#table = parts.table;
    this.#tail = parts.tail;
    this.#link = parts.link;
    this.#maySend = parts.maySend;
    this.#onEnd = parts.onEnd;
    this.birth = parts.start.birth;
    this.cursor = parts.start.seq;
  }

  start(): void {
    this.#tail.on("grown", this.#grown);
    this.#tail.on("ended", this.#ended);
    void this.#pump();
  }

  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    this.#tail.off("grown", this.#grown);
    this.#tail.off("ended", this.#ended);
    this.#table.leave(this.#tail);
  }

  async #pump(): Promise<void> {
    if (this.#isPumping) return;
    this.#isPumping = true;
    while (!this.#isStopped && this.#maySend()) {
      if (this.birth !== this.#tail.birth) this.#restart();
      if (this.cursor >= this.#tail.head) break;
      const next = this.#tail.after(this.cursor);
      if (next !== undefined) this.#deliver(next);
      else if (this.cursor + 1 <= this.#lacking() && !(await this.#fetch())) break;
      else if (this.cursor + 1 > this.#lacking()) break;
    }
    this.#isPumping = false;
  }

  /** The newest message that will not come by itself. */
  #lacking(): number {
    const first = this.#tail.messages[0];
    return first === undefined ? this.#tail.head : first.seq - 1;
  }

  async #fetch(): Promise<boolean> {
    const { birth, cursor } = this;
    const got = await this.#table.followOf(this.#tail.shard).fetch(this.topic, birth, cursor);
    if (got === undefined || this.#isStopped || this.birth !== birth || this.cursor !== cursor) return false;
    if (got.outcome === "another-birth" || got.outcome === "unknown-topic") return false;
    if (got.outcome === "trimmed") this.#expire(got.low, "older messages were trimmed");
    for (const message of got.messages) {
      if (!this.#maySend() || this.#isStopped) return false;
      this.#deliver(message);
    }
    return got.outcome === "trimmed" || got.messages.length > 0;
  }

  #deliver(message: TopicMessage): void {
    if (message.seq !== this.cursor + 1) return;
    this.cursor = message.seq;
    const { session, number, payload, seq } = message;
    this.#link.send({
      kind: "message",
      topic: this.topic,
      sender: session,
      number,
      place: Places.write(this.birth, seq),
      payload: Buffer.from(payload).toString(),
    });
  }

  #expire(low: number, reason: string): void {
    this.cursor = low;
    this.#link.send({ kind: "expired", topic: this.topic, place: Places.write(this.birth, low), reason });
  }

  /** The topic was removed and made again: all of the new birth is news. */
  #restart(): void {
    this.birth = this.#tail.birth;
    this.#expire(this.#tail.low, "the topic was made again");
  }

  #end(fault: string): void {
    if (this.#isStopped) return;
    this.stop();
    this.#onEnd();
    this.#link.send({ kind: "ended", topic: this.topic, reason: fault });
  }
}
