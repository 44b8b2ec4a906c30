import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
  ShardCommandSchema,
  ShardPictureSchema,
  TopicMessageSchema,
  type Accept,
  type ShardCommand,
  type TopicMessage,
  type Trim,
} from "@cranetrack/chest/gen/cranetrack_pb.js";

export interface TopicLog {
  birth: string;
  head: number;
  low: number;
  messages: TopicMessage[];
}
interface Known {
  at: number;
  ownerEpoch: number;
  numbers: number[];
  seqs: number[];
}
export type Verdict =
  | { outcome: "accepted"; birth: string; seq: number; topic: string; isFresh: boolean }
  | { outcome: "refused"; code: string; reason: string };

/**
 * What a shard's committed log says. Deterministic, and the only judge of what was sent twice.
 * Invariants: a topic's messages are contiguous from low + 1 to head; a session's numbers in a topic
 * only rise; a number has one verdict for ever.
 */
export class ShardState {
  static readonly window = 128;

  readonly topics = new Map<string, TopicLog>();
  readonly #known = new Map<string, Map<string, Known>>();
  /** Shard time: rises with the entries, and stands still while nobody holds the shard. */
  at = 0;

  /** The verdict on a number that the committed log already knows. */
  known(topic: string, session: string, number: number): Verdict | undefined {
    const record = this.#known.get(topic)?.get(session);
    const log = this.topics.get(topic);
    if (record === undefined || log === undefined || number > record.numbers.at(-1)!) return undefined;
    const seq = record.seqs[record.numbers.indexOf(number)];
    if (seq === undefined)
      return {
        outcome: "refused",
        code: "number-went-backwards",
        reason: `number ${number} is below ${record.numbers.at(-1)} and was never taken`,
      };
    if (seq === 0)
      return { outcome: "refused", code: "refused-before", reason: `number ${number} was refused for good` };
    return { outcome: "accepted", birth: log.birth, seq, topic, isFresh: false };
  }

  apply(data: Uint8Array): Verdict | undefined {
    const { command } = fromBinary(ShardCommandSchema, data);
    return this.#apply(command);
  }

  picture(): Uint8Array {
    const topics = [...this.topics].map(([topic, log]) => ({ topic, ...log }));
    const dedups = [...this.#known].flatMap(([topic, sessions]) =>
      [...sessions].map(([session, record]) => ({ topic, session, ...record })),
    );
    return toBinary(ShardPictureSchema, create(ShardPictureSchema, { topics, dedups, at: this.at }));
  }

  install(picture: Uint8Array): void {
    const read = fromBinary(ShardPictureSchema, picture);
    this.topics.clear();
    this.#known.clear();
    this.at = read.at;
    for (const { topic, birth, head, low, messages } of read.topics)
      this.topics.set(topic, { birth, head, low, messages });
    for (const { topic, session, at, ownerEpoch, numbers, seqs } of read.dedups)
      this.#sessions(topic).set(session, { at, ownerEpoch, numbers, seqs });
  }

  /** Known sessions last heard of before a shard time; for the trimming beat. */
  hasOlder(at: number): boolean {
    for (const sessions of this.#known.values())
      for (const record of sessions.values()) if (record.at < at) return true;
    return false;
  }

  #apply(command: ShardCommand["command"]): Verdict | undefined {
    if (command.case === "accept") return this.#accept(command.value);
    if (command.case === "trim") return this.#trim(command.value);
    if (command.case === "birth") {
      this.at = Math.max(this.at, command.value.at);
      if (!this.topics.has(command.value.topic))
        this.topics.set(command.value.topic, { birth: command.value.birth, head: 0, low: 0, messages: [] });
    }
    return undefined;
  }

  #accept(accept: Accept): Verdict {
    this.at = Math.max(this.at, accept.at);
    const known = this.known(accept.topic, accept.session, accept.number);
    if (known !== undefined) return known;
    const log = this.topics.get(accept.topic);
    if (log === undefined || log.birth !== accept.birth)
      return { outcome: "refused", code: "topic-gone", reason: "the topic was removed meanwhile" };
    const record = this.#sessions(accept.topic).get(accept.session) ?? { at: 0, ownerEpoch: 0, numbers: [], seqs: [] };
    if (accept.ownerEpoch < record.ownerEpoch)
      return { outcome: "refused", code: "stale-owner", reason: "the session has moved to another node" };
    const seq = accept.isVoid ? 0 : log.head + 1;
    if (!accept.isVoid) {
      log.head = seq;
      log.messages.push(
        create(TopicMessageSchema, {
          seq,
          session: accept.session,
          number: accept.number,
          payload: accept.payload,
          at: accept.at,
        }),
      );
    }
    record.at = accept.at;
    record.ownerEpoch = accept.ownerEpoch;
    record.numbers.push(accept.number);
    record.seqs.push(seq);
    if (record.numbers.length > ShardState.window) {
      record.numbers.shift();
      record.seqs.shift();
    }
    this.#sessions(accept.topic).set(accept.session, record);
    if (accept.isVoid) return { outcome: "refused", code: "refused", reason: "refused for good" };
    return { outcome: "accepted", birth: log.birth, seq, topic: accept.topic, isFresh: true };
  }

  #trim(trim: Trim): undefined {
    this.at = Math.max(this.at, trim.at);
    for (const { topic, low, isRemoved } of trim.topics) {
      const log = this.topics.get(topic);
      if (isRemoved) {
        this.topics.delete(topic);
        this.#known.delete(topic);
      } else if (log !== undefined && low > log.low) {
        log.messages = log.messages.slice(low - log.low);
        log.low = low;
      }
    }
    for (const [topic, sessions] of this.#known) {
      for (const [session, record] of sessions) if (record.at < trim.forgetBefore) sessions.delete(session);
      if (sessions.size === 0) this.#known.delete(topic);
    }
    return undefined;
  }

  #sessions(topic: string): Map<string, Known> {
    let sessions = this.#known.get(topic);
    if (sessions === undefined) this.#known.set(topic, (sessions = new Map()));
    return sessions;
  }
}
