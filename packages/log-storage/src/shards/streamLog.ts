import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  StreamMessageSchema,
  type Accept,
  type StreamMessage,
  type StreamSnapshot,
  type StreamSnapshotSchema,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";

interface SessionRecord {
  at: number;
  ownerEpoch: number;
  numbers: number[];
  seqs: number[];
  /** Shard times of the numbers; those taken by an earlier release have none. */
  ats: number[];
}
/**
 * What a stream says of a number: accepted at `seq`, where `isFresh` tells the first time from a repeat; or refused,
 * with a code and reason that travel to the client.
 */
export type Verdict =
  | { kind: "accepted"; stream: string; incarnation: string; seq: number; isFresh: boolean }
  | { kind: "refused"; code: string; reason: string };

/**
 * One stream's part of a shard's log: its messages in their order, and what was sent before.
 * Invariants: messages are contiguous from low + 1 to head; a session's numbers in a topic only rise, and a
 * number has one verdict until it or its session is forgotten by time; `trims` has for each topic the last message that
 * was trimmed.
 */
export class StreamLog {
  /** So many of a session's numbers in a topic stay known, however old they are. */
  static readonly minKnownNumbers = 128;
  /** The code of a refusal of a number below the last one taken, which this log itself never took. */
  static readonly numberWentBackwards = "number-went-backwards";

  readonly stream: string;
  readonly incarnation: string;
  readonly trims = new Map<string, number>();
  /** By topic, then by session. */
  readonly #known = new Map<string, Map<string, SessionRecord>>();
  head = 0;
  low = 0;
  /** For how long the contract in force promised to keep the newest message, in milliseconds. */
  keepMs = 0;
  messages: StreamMessage[] = [];

  constructor(stream: string, incarnation: string) {
    this.stream = stream;
    this.incarnation = incarnation;
  }

  /** Of the stream's space: the first part of its own. */
  get spaceIncarnation(): number {
    return Streams.spaceIncarnationOf(this.incarnation);
  }

  /** How many sessions' numbers are kept, over all topics. */
  get knownCount(): number {
    let count = 0;
    for (const sessions of this.#known.values()) count += sessions.size;
    return count;
  }

  /** The verdict on a number that is known already. */
  known(topic: string, session: string, number: number): Verdict | undefined {
    const record = this.#known.get(topic)?.get(session);
    if (record === undefined || number > record.numbers.at(-1)!) return undefined;
    const seq = record.seqs[record.numbers.indexOf(number)];
    if (seq === undefined) {
      const reason = `number ${number} is below ${record.numbers.at(-1)} and was never taken`;
      return { kind: "refused", code: StreamLog.numberWentBackwards, reason };
    }
    if (seq === 0) return { kind: "refused", code: "refused-before", reason: `number ${number} was refused for good` };
    return { kind: "accepted", stream: this.stream, incarnation: this.incarnation, seq, isFresh: false };
  }

  /** Sequences a message, or repeats the verdict on its number. A void one uses up its number alone. */
  accept(accept: Accept): Verdict {
    const { topic, session, number, payload, at } = accept;
    const known = this.known(topic, session, number);
    if (known !== undefined) return known;
    const record = this.#sessions(topic).get(session) ?? { at: 0, ownerEpoch: 0, numbers: [], seqs: [], ats: [] };
    if (accept.ownerEpoch < record.ownerEpoch)
      return { kind: "refused", code: "stale-owner", reason: "the session has moved to another node" };
    const seq = accept.isVoid ? 0 : this.head + 1;
    if (!accept.isVoid) {
      this.head = seq;
      this.keepMs = accept.keepMs;
      this.messages.push(create(StreamMessageSchema, { seq, session, number, payload, at, topic }));
    }
    record.at = at;
    record.ownerEpoch = accept.ownerEpoch;
    record.numbers.push(number);
    record.seqs.push(seq);
    record.ats.push(at);
    this.#sessions(topic).set(session, record);
    if (accept.isVoid) return { kind: "refused", code: "refused", reason: "refused for good" };
    return { kind: "accepted", stream: this.stream, incarnation: this.incarnation, seq, isFresh: true };
  }

  /** Removes the messages up to the sequence number `low`; never beyond the head. */
  trim(low: number): void {
    if (low <= this.low) return;
    const trimmedCount = Math.min(low, this.head) - this.low;
    for (const { topic, seq } of this.messages.slice(0, trimmedCount)) this.trims.set(topic, seq);
    this.messages = this.messages.slice(trimmedCount);
    this.low += trimmedCount;
  }

  /** Known sessions whose last accepted number is older than a shard time. */
  hasSessionsBefore(at: number): boolean {
    for (const sessions of this.#known.values())
      for (const record of sessions.values()) if (record.at < at) return true;
    return false;
  }

  /** Forgets the numbers of sessions that accepted nothing since a shard time: they are unknown from then on. */
  forgetSessions(before: number): void {
    for (const [topic, sessions] of this.#known) {
      for (const [session, record] of sessions) if (record.at < before) sessions.delete(session);
      if (sessions.size === 0) this.#known.delete(topic);
    }
  }

  /** Whether `forgetNumbers` would forget any. */
  hasNumbersBefore(at: number): boolean {
    for (const sessions of this.#known.values())
      for (const record of sessions.values()) if (countBefore(record, at) > 0) return true;
    return false;
  }

  /** Forgets the numbers taken before a shard time, but for the last ones of each session. */
  forgetNumbers(before: number): void {
    for (const sessions of this.#known.values())
      for (const record of sessions.values()) {
        const count = countBefore(record, before);
        if (count === 0) continue;
        record.numbers.splice(0, count);
        record.seqs.splice(0, count);
        record.ats.splice(0, count);
      }
  }

  /** Typed as the message's fields: an unknown field would be left out of the snapshot in silence. */
  snapshot(): MessageInitShape<typeof StreamSnapshotSchema> {
    const { stream, incarnation, head, low, messages, keepMs } = this;
    const trims = [...this.trims].map(([topic, seq]) => ({ topic, seq }));
    const dedups = [...this.#known].flatMap(([topic, sessions]) =>
      [...sessions].map(([session, record]) => ({ topic, session, ...record })),
    );
    return { stream, incarnation, head, low, messages, trims, dedups, keepMs };
  }

  /** A log of another incarnation that has no messages, and knows the numbers that this one took. */
  emptied(incarnation: string): StreamLog {
    const log = new StreamLog(this.stream, incarnation);
    for (const [topic, sessions] of this.#known) log.#known.set(topic, sessions);
    return log;
  }

  /** The log that a snapshot was taken of. */
  static from(snapshot: StreamSnapshot): StreamLog {
    const log = new StreamLog(snapshot.stream, snapshot.incarnation);
    log.head = snapshot.head;
    log.low = snapshot.low;
    log.keepMs = snapshot.keepMs;
    log.messages = snapshot.messages;
    for (const { topic, seq } of snapshot.trims) log.trims.set(topic, seq);
    for (const { topic, session, at, ownerEpoch, numbers, seqs, ats } of snapshot.dedups) {
      const times = ats.length === numbers.length ? ats : numbers.map(() => 0);
      log.#sessions(topic).set(session, { at, ownerEpoch, numbers, seqs, ats: times });
    }
    return log;
  }

  #sessions(topic: string): Map<string, SessionRecord> {
    let sessions = this.#known.get(topic);
    if (sessions === undefined) this.#known.set(topic, (sessions = new Map()));
    return sessions;
  }
}

/** How many of the oldest numbers were taken before a shard time and need not stay. */
function countBefore({ ats }: SessionRecord, before: number): number {
  const most = ats.length - StreamLog.minKnownNumbers;
  let count = 0;
  while (count < most && ats[count]! < before) count += 1;
  return count;
}
