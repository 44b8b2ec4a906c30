import type { StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ConfigurationView } from "@cranetrack/core/configuration/configurationView.js";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import { PublisherOrder } from "../fanout/publisherOrder.js";
import { Cursors, type Cursor } from "./cursor.js";
import { nextIncarnation } from "./nextIncarnation.js";
import type { StreamTable } from "../fanout/streamTable.js";
import type { StreamTail } from "../fanout/streamTail.js";
import type { ClientConnection } from "../connections/clientConnection.js";

interface CursorParts {
  table: StreamTable;
  tail: StreamTail;
  connection: ClientConnection;
  clock: Clock;
  /** False closes the connection: nothing may be sent any more. */
  maySend: () => boolean;
  /** The stream has the topic no more; from where a subscription to it would go on. */
  onEnd: (topic: string, cursor: Cursor, reason: string) => void;
}

/**
 * One stream on one connection: reads the log by cursor, in order, and delivers the subscribed topics' messages.
 * Invariants: `cursor` is the last message read and only rises within an incarnation, but where a topic joins with an
 * older cursor; a topic's entry in `topics` is the last offset up to which it needs nothing more, so no message
 * is delivered twice; nothing is delivered before its topic was confirmed, or after it was stopped; once an incarnation
 * in memory was read, each publisher's numbers in a topic rise from incarnation to incarnation, whichever way a message
 * came.
 */
export class StreamCursor {
  static readonly retryDelayMs = 250;

  readonly #parts: CursorParts;
  readonly #topics = new Map<string, number>();
  /** By topic: what was delivered since the stream was in a leader's memory, where offsets begin anew. */
  readonly #delivered = new Map<string, PublisherOrder>();
  readonly #grown = (): void => void this.#pump();
  readonly #ended = (fault: string): void => this.#endAll(fault);
  incarnation = "";
  cursor = 0;
  #isPumping = false;
  #isStopped = false;
  #retryTimer: TimerHandle | undefined;

  constructor(parts: CursorParts) {
    this.#parts = parts;
  }

  /** The stream that is read. */
  get tail(): StreamTail {
    return this.#parts.tail;
  }

  /** Nothing is delivered any more. */
  get isStopped(): boolean {
    return this.#isStopped;
  }

  /** Adds a topic from its cursor on; the stream is read again from there where it must, for that topic alone. */
  add(topic: string, start: Cursor): void {
    if (this.#topics.size === 0 && this.incarnation === "") {
      this.incarnation = start.incarnation;
      this.cursor = start.seq;
    }
    const isBehind = start.incarnation === this.incarnation && start.seq < this.cursor;
    if (isBehind) {
      for (const [other, at] of this.#topics) this.#topics.set(other, Math.max(at, this.cursor));
      this.cursor = start.seq;
    }
    if (!this.#topics.has(topic)) this.#parts.table.counts.join(this.tail, topic);
    this.#topics.set(topic, start.incarnation === this.incarnation ? start.seq : this.cursor);
  }

  /** Begins to deliver, or goes on after topics were added; idempotent. */
  start(): void {
    const { tail } = this.#parts;
    tail.off("grown", this.#grown);
    tail.off("ended", this.#ended);
    tail.on("grown", this.#grown);
    tail.on("ended", this.#ended);
    void this.#pump();
  }

  /** From where the topic would go on. */
  cursorOf(topic: string): Cursor {
    return { incarnation: this.incarnation, seq: Math.max(this.#topics.get(topic) ?? 0, this.cursor) };
  }

  /** The last topic stops the cursor. */
  remove(topic: string): void {
    this.#delivered.delete(topic);
    if (this.#topics.delete(topic) && !this.#isStopped) this.#parts.table.counts.part(this.tail, topic);
    if (this.#topics.size === 0) this.stop();
  }

  /** Ends all topics without a word to the client; idempotent. */
  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    for (const topic of this.#topics.keys()) this.#parts.table.counts.part(this.tail, topic);
    this.#retryTimer?.stop();
    this.#parts.tail.off("grown", this.#grown);
    this.#parts.tail.off("ended", this.#ended);
    this.#parts.table.release(this.#parts.tail);
  }

  /** Topics without a contract in the configuration now in force, or now in another stream, end. */
  configurationChanged(view: Pick<ConfigurationView, "configuration" | "route">): void {
    for (const topic of [...this.#topics.keys()]) {
      const isOurs = view.route(topic)?.stream === this.tail.stream;
      if (!isOurs || Configurations.contractFor(view.configuration, topic) === undefined)
        this.#end(topic, "topic-gone");
    }
  }

  /** Every turn moves the cursor, or is the last: one without progress waits for a push or the retry timer. */
  async #pump(): Promise<void> {
    if (this.#isPumping) return;
    this.#isPumping = true;
    const { tail } = this.#parts;
    while (!this.#isStopped && this.#parts.maySend()) {
      if (tail.incarnation !== this.incarnation && tail.isKnown && !(await this.#changeIncarnation())) {
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
        // No contract covers what neither the tail nor the leader has any more.
        this.cursor = Math.max(before, (tail.messages[0]?.seq ?? tail.head + 1) - 1);
        if (this.cursor > before) continue;
      }
      this.#retryLater();
      break;
    }
    this.#isPumping = false;
  }

  /** What could not be fetched now is fetched again, also where no push comes. */
  #retryLater(): void {
    this.#retryTimer?.stop();
    this.#retryTimer = this.#parts.clock.once(StreamCursor.retryDelayMs, () => void this.#pump());
  }

  /** Messages after the cursor, up to `until`; whether the incarnation is there at all. */
  async #fetch(until = Infinity): Promise<boolean> {
    const { table, tail, maySend } = this.#parts;
    const { incarnation, cursor } = this;
    const got = await table.fetch(tail, incarnation, cursor);
    if (got === undefined || this.#isStopped || this.incarnation !== incarnation || this.cursor !== cursor) return true;
    if (got.outcome === "gone") return false;
    if (got.outcome === "trimmed") this.#skip(Math.min(got.low, until), got.trims);
    for (const message of got.messages) {
      if (message.seq > until || this.#isStopped || !maySend()) return true;
      this.#deliver(message);
    }
    return true;
  }

  /**
   * Goes on in the stream's present incarnation; false where that has to be tried again later. All of a new one is
   * unread; what the log took before comes first.
   */
  async #changeIncarnation(): Promise<boolean> {
    const { tail } = this.#parts;
    const read = { incarnation: this.incarnation, seq: this.cursor };
    const next = nextIncarnation(read, tail);
    if (next.kind === "wait") return false;
    if (next.kind === "continue") this.#moveTo(next.cursor);
    if (next.kind === "lost") this.#restart();
    if (next.kind !== "readLog") return true;
    if (next.cursor.incarnation !== this.incarnation) this.#moveTo(next.cursor);
    const isThere = await this.#fetch(next.until);
    if (!isThere) this.#moveTo({ incarnation: tail.incarnation, seq: tail.low });
    return !isThere || this.cursor > next.cursor.seq;
  }

  #moveTo({ incarnation, seq }: Cursor): void {
    this.incarnation = incarnation;
    this.cursor = seq;
    for (const topic of this.#topics.keys()) this.#topics.set(topic, seq);
  }

  get #isInMemory(): boolean {
    return Incarnations.isInMemory(this.incarnation);
  }

  #deliver(message: StreamMessage): void {
    if (message.seq !== this.cursor + 1) return;
    this.cursor = message.seq;
    const { session, number, payload, seq, topic } = message;
    const from = this.#topics.get(topic);
    if (from === undefined || seq <= from || this.#isRepeat(message)) return;
    const cursor = Cursors.write(this.incarnation, seq);
    const text = Buffer.from(payload).toString();
    this.#parts.connection.send({ kind: "message", topic, sender: session, number, place: cursor, payload: text });
  }

  /**
   * What an earlier leader's stream in memory brought, or something before it: published again for want of a reply, and
   * taken by a leader, or a log, that did not know it.
   */
  #isRepeat(message: StreamMessage): boolean {
    let delivered = this.#delivered.get(message.topic);
    if (delivered === undefined && !this.#isInMemory) return false;
    if (delivered === undefined) this.#delivered.set(message.topic, (delivered = new PublisherOrder()));
    return delivered.faultOf(message, this.#parts.clock.now()) !== undefined;
  }

  /** Goes on after what was trimmed; only the clients of topics that lost a message by it are notified. */
  #skip(low: number, trims: ReadonlyMap<string, number>): void {
    const cursor = this.cursor;
    const isKept = !Incarnations.isInMemory(this.tail.incarnation);
    if (isKept)
      for (const [topic, from] of this.#topics) {
        if ((trims.get(topic) ?? 0) > Math.max(from, cursor)) this.#expire(topic, low, "older messages were trimmed");
      }
    this.cursor = Math.max(cursor, low);
  }

  /** The stream in the log is another one than was read. */
  #restart(): void {
    const { tail } = this.#parts;
    this.#moveTo({ incarnation: tail.incarnation, seq: tail.low });
    for (const topic of this.#topics.keys()) this.#expire(topic, tail.low, "the topic was made again");
  }

  #expire(topic: string, low: number, reason: string): void {
    this.#topics.set(topic, low);
    this.#parts.connection.send({ kind: "expired", topic, place: Cursors.write(this.incarnation, low), reason });
  }

  #endAll(fault: string): void {
    for (const topic of [...this.#topics.keys()]) this.#end(topic, fault);
  }

  #end(topic: string, reason: string): void {
    if (this.#isStopped || !this.#topics.has(topic)) return;
    const cursor = this.cursorOf(topic);
    this.remove(topic);
    this.#parts.onEnd(topic, cursor, reason);
  }
}
