import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import { Cursors, type Cursor } from "./cursor.js";
import type { DeliveredNumbers } from "./deliveredNumbers.js";
import { nextIncarnation } from "./nextIncarnation.js";
import type { StreamTable } from "../fanout/streamTable.js";
import type { StreamTail } from "../fanout/streamTail.js";
import type { ClientConnection } from "../connections/clientConnection.js";

/** Constructor arguments of `StreamCursor`. */
interface CursorParts {
  table: StreamTable;
  tail: StreamTail;
  connection: ClientConnection;
  /** The numbers that the connection has received, also those of earlier cursors. */
  delivered: DeliveredNumbers;
  clock: Clock;
  /** Whether messages may be sent on the connection; if not, it is closed and the cursor delivers nothing more. */
  maySend: () => boolean;
  /** The stream no longer has the topic; `cursor` is where a new subscription would continue. */
  onEnd: (topic: string, cursor: Cursor, reason: string) => void;
}

/**
 * Reads one stream for one connection, in order, and delivers the messages of the subscribed topics.
 * Invariants: `cursor` is the last message read, and only rises within an incarnation, except when a topic joins with
 * an older cursor; no message is delivered twice, as `#handledUpTo` has for each topic the offset up to which it needs
 * nothing more; nothing is delivered before the topic was confirmed or after it was stopped; once an incarnation in
 * memory has been read, each publisher's numbers in a topic rise also from one incarnation to the next.
 */
export class StreamCursor {
  /** Milliseconds until a failed fetch is repeated. */
  static readonly retryDelayMs = 250;

  readonly #parts: CursorParts;
  /** By subscribed topic, the offset up to which its messages were delivered or need not be. */
  readonly #handledUpTo = new Map<string, number>();
  readonly #onGrown = (): void => void this.#advance();
  readonly #onEnded = (fault: string): void => this.#endAll(fault);
  /** The incarnation that is read; empty before the first topic was added. */
  incarnation = "";
  /** Sequence number of the last message read. */
  cursor = 0;
  #isAdvancing = false;
  #isStopped = false;
  #retryTimer: TimerHandle | undefined;

  constructor(parts: CursorParts) {
    this.#parts = parts;
  }

  /** The tail of the stream that is read. */
  get tail(): StreamTail {
    return this.#parts.tail;
  }

  /** Whether the cursor was stopped; it then delivers nothing more. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Adds a topic that starts after a cursor. If that is behind, the stream is read again from there for this topic. */
  add(topic: string, start: Cursor): void {
    if (this.#handledUpTo.size === 0 && this.incarnation === "") {
      this.incarnation = start.incarnation;
      this.cursor = start.seq;
    }
    const isBehind = start.incarnation === this.incarnation && start.seq < this.cursor;
    if (isBehind) {
      for (const [other, handledUpTo] of this.#handledUpTo)
        this.#handledUpTo.set(other, Math.max(handledUpTo, this.cursor));
      this.cursor = start.seq;
    }
    if (!this.#handledUpTo.has(topic)) this.#parts.table.counts.addSubscriber(this.tail, topic);
    this.#handledUpTo.set(topic, start.incarnation === this.incarnation ? start.seq : this.cursor);
  }

  /** Starts to deliver, or continues after topics were added. Idempotent. */
  start(): void {
    const { tail } = this.#parts;
    tail.off("grown", this.#onGrown);
    tail.off("ended", this.#onEnded);
    tail.on("grown", this.#onGrown);
    tail.on("ended", this.#onEnded);
    void this.#advance();
  }

  /** The cursor after which the delivery of a topic continues. */
  cursorOf(topic: string): Cursor {
    return { incarnation: this.incarnation, seq: Math.max(this.#handledUpTo.get(topic) ?? 0, this.cursor) };
  }

  /** Removes a topic; removing the last one stops the cursor. */
  remove(topic: string): void {
    if (this.#handledUpTo.delete(topic) && !this.#isStopped)
      this.#parts.table.counts.removeSubscriber(this.tail, topic);
    if (this.#handledUpTo.size === 0) this.stop();
  }

  /** Ends all topics without notifying the client. Idempotent. */
  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    for (const topic of this.#handledUpTo.keys()) this.#parts.table.counts.removeSubscriber(this.tail, topic);
    this.#retryTimer?.stop();
    this.#parts.tail.off("grown", this.#onGrown);
    this.#parts.tail.off("ended", this.#onEnded);
    this.#parts.table.release(this.#parts.tail);
  }

  /** Ends topics that have no contract in the configuration in force, or that it puts into another stream. */
  configurationChanged(view: Pick<ConfigurationView, "configuration" | "route">): void {
    for (const topic of [...this.#handledUpTo.keys()]) {
      const isOurs = view.route(topic)?.stream === this.tail.stream;
      if (!isOurs || Configurations.contractFor(view.configuration, topic) === undefined)
        this.#end(topic, "topic-gone");
    }
  }

  /**
   * Reads and delivers as far as possible. Each iteration advances the cursor or is the last: without progress, the
   * next push or the retry timer continues.
   */
  async #advance(): Promise<void> {
    if (this.#isAdvancing) return;
    this.#isAdvancing = true;
    const { tail } = this.#parts;
    while (!this.#isStopped && this.#parts.maySend()) {
      if (tail.incarnation !== this.incarnation && tail.isConfirmed && !(await this.#changeIncarnation())) {
        this.#retryLater();
        break;
      }
      const before = this.cursor;
      if (tail.incarnation !== this.incarnation || before >= tail.head) break;
      const next = tail.after(before);
      if (next !== undefined) this.#deliver(next);
      else await this.#fetch();
      if (this.cursor > before) continue;
      if (this.#isInMemory && tail.incarnation === this.incarnation && tail.after(before) === undefined) {
        // Messages in memory that neither the tail nor the leader has any more are covered by no contract: skips them.
        this.cursor = Math.max(before, (tail.messages[0]?.seq ?? tail.head + 1) - 1);
        if (this.cursor > before) continue;
      }
      this.#retryLater();
      break;
    }
    this.#isAdvancing = false;
  }

  /** Schedules another attempt, in case no push triggers one. */
  #retryLater(): void {
    this.#retryTimer?.stop();
    this.#retryTimer = this.#parts.clock.once(StreamCursor.retryDelayMs, () => void this.#advance());
  }

  /** Fetches and delivers messages after the cursor, up to `until`; false if the incarnation no longer exists. */
  async #fetch(until = Infinity): Promise<boolean> {
    const { table, tail, maySend } = this.#parts;
    const { incarnation, cursor } = this;
    const fetched = await table.fetch(tail, incarnation, cursor);
    if (fetched === undefined || this.#isStopped || this.incarnation !== incarnation || this.cursor !== cursor)
      return true;
    if (fetched.outcome === "gone") return false;
    if (fetched.outcome === "trimmed") this.#skipTrimmed(Math.min(fetched.low, until), fetched.trims);
    for (const message of fetched.messages) {
      if (message.seq > until || this.#isStopped || !maySend()) return true;
      this.#deliver(message);
    }
    return true;
  }

  /**
   * Continues in the stream's present incarnation; false if that has to be retried later. No message of a new
   * incarnation has been read yet; the rest of the log from before it is read first.
   */
  async #changeIncarnation(): Promise<boolean> {
    const { tail } = this.#parts;
    const read = { incarnation: this.incarnation, seq: this.cursor };
    const next = nextIncarnation(read, tail);
    if (next.kind === "wait") return false;
    if (next.kind === "continue") this.#moveTo(next.cursor);
    if (next.kind === "lost") this.#restartAtLow();
    if (next.kind !== "readLog") return true;
    if (next.cursor.incarnation !== this.incarnation) this.#moveTo(next.cursor);
    const exists = await this.#fetch(next.until);
    if (!exists) this.#moveTo({ incarnation: tail.incarnation, seq: tail.low });
    return !exists || this.cursor > next.cursor.seq;
  }

  #moveTo({ incarnation, seq }: Cursor): void {
    this.incarnation = incarnation;
    this.cursor = seq;
    for (const topic of this.#handledUpTo.keys()) this.#handledUpTo.set(topic, seq);
  }

  get #isInMemory(): boolean {
    return Incarnations.isInMemory(this.incarnation);
  }

  #deliver(message: StreamMessage): void {
    if (message.seq !== this.cursor + 1) return;
    this.cursor = message.seq;
    const { session, number, payload, seq, topic } = message;
    const handledUpTo = this.#handledUpTo.get(topic);
    if (handledUpTo === undefined || seq <= handledUpTo || this.#isRepeat(message)) return;
    const cursor = Cursors.write(this.incarnation, seq);
    const text = Buffer.from(payload).toString();
    this.#parts.connection.send({ kind: "message", topic, sender: session, number, place: cursor, payload: text });
  }

  #isRepeat(message: StreamMessage): boolean {
    const { delivered, clock } = this.#parts;
    return delivered.isRepeat({ message, isInMemory: this.#isInMemory, now: clock.now() });
  }

  /** Continues after trimmed messages. Notifies the client only of topics that lost a message. */
  #skipTrimmed(low: number, trims: ReadonlyMap<string, number>): void {
    const cursor = this.cursor;
    const isKept = !Incarnations.isInMemory(this.tail.incarnation);
    if (isKept)
      for (const [topic, handledUpTo] of this.#handledUpTo) {
        if ((trims.get(topic) ?? 0) > Math.max(handledUpTo, cursor))
          this.#expire(topic, low, "older messages were trimmed");
      }
    this.cursor = Math.max(cursor, low);
  }

  /** The stream's log is not the one that was read: starts at its lowest offset and notifies the client. */
  #restartAtLow(): void {
    const { tail } = this.#parts;
    this.#moveTo({ incarnation: tail.incarnation, seq: tail.low });
    for (const topic of this.#handledUpTo.keys()) this.#expire(topic, tail.low, "the topic was made again");
  }

  #expire(topic: string, low: number, reason: string): void {
    this.#handledUpTo.set(topic, low);
    this.#parts.connection.send({ kind: "expired", topic, place: Cursors.write(this.incarnation, low), reason });
  }

  #endAll(fault: string): void {
    for (const topic of [...this.#handledUpTo.keys()]) this.#end(topic, fault);
  }

  #end(topic: string, reason: string): void {
    if (this.#isStopped || !this.#handledUpTo.has(topic)) return;
    const cursor = this.cursorOf(topic);
    this.remove(topic);
    this.#parts.onEnd(topic, cursor, reason);
  }
}
