import { create, type MessageInitShape } from "@bufbuild/protobuf";
import {
  StreamMessageSchema,
  type Accept,
  type StreamMessage,
  type StreamSnapshot,
  type StreamSnapshotSchema,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";

/** A session's numbers in one topic. The snapshot contains its fields under these names. */
interface SessionRecord {
  /** Shard time, in ms, of the last number. */
  at: number;
  /** Epoch of the session's owner that sent the last number; accepts of an earlier owner are refused. */
  ownerEpoch: number;
  /** Ascending. */
  numbers: number[];
  /** Sequence number of each number's message; 0 if the number was refused. */
  seqs: number[];
  /** Shard times at which the numbers were taken; numbers taken by an earlier release have 0. */
  ats: number[];
}

/**
 * A stream's verdict on a number: accepted at `seq`, where `isFresh` tells the first time from a repeat; refused, which
 * promises that the number never was and never will be accepted, with a code and a reason that are sent to the client;
 * or unknown: it is not accepted now, and may have been before.
 */
export type Verdict =
  | { kind: "accepted"; stream: string; incarnation: string; seq: number; isFresh: boolean }
  | { kind: "refused"; code: string; reason: string }
  | { kind: "unknown"; reason: string };

/**
 * One stream's part of a shard's log: its messages in order, and the numbers that were sent before.
 * Invariants: messages are contiguous from low + 1 to head; a session's numbers in a topic only rise, and a number
 * keeps its verdict until the number or its session is forgotten because of its age; `trims` has the last trimmed
 * sequence number of each topic.
 */
export class StreamLog {
  /** This many of a session's latest numbers in a topic stay known, however old they are. */
  static readonly minKnownNumbers = 128;
  /** Code of the refusal of a number below the last one taken, where this log itself never took it. */
  static readonly numberWentBackwards = "number-went-backwards";

  readonly stream: string;
  readonly incarnation: string;
  readonly trims = new Map<string, number>();
  /** By topic, then by session. */
  readonly #sessionsByTopic = new Map<string, Map<string, SessionRecord>>();
  /** Sequence number of the newest message; 0 before the first one. */
  head = 0;
  /** Sequence number of the last trimmed message; 0 while none is trimmed. */
  low = 0;
  /** How long the contract in force promised to keep the newest message, in milliseconds. */
  keepMs = 0;
  messages: StreamMessage[] = [];

  constructor(stream: string, incarnation: string) {
    this.stream = stream;
    this.incarnation = incarnation;
  }

  /** Incarnation of the stream's space: the first part of the stream's own incarnation. */
  get spaceIncarnation(): number {
    return Streams.spaceIncarnationOf(this.incarnation);
  }

  /** Number of sessions whose numbers are known, summed over all topics. */
  get sessionCount(): number {
    let count = 0;
    for (const sessions of this.#sessionsByTopic.values()) count += sessions.size;
    return count;
  }

  /** The verdict on a number that was already seen; undefined for any other. */
  findVerdict(topic: string, session: string, number: number): Verdict | undefined {
    const record = this.#sessionsByTopic.get(topic)?.get(session);
    if (record === undefined || number > record.numbers.at(-1)!) return undefined;
    const seq = record.seqs[record.numbers.indexOf(number)];
    if (seq === undefined && mayBeForgotten(record, number))
      return { kind: "unknown", reason: `number ${number} is older than the numbers that are still known` };
    if (seq === undefined) {
      const reason = `number ${number} is below ${record.numbers.at(-1)} and was never taken`;
      return { kind: "refused", code: StreamLog.numberWentBackwards, reason };
    }
    if (seq === 0) return { kind: "refused", code: "refused-before", reason: `number ${number} was refused for good` };
    return { kind: "accepted", stream: this.stream, incarnation: this.incarnation, seq, isFresh: false };
  }

  /** Sequences a message, or repeats the verdict on its number. A void accept only uses up its number. */
  accept(accept: Accept): Verdict {
    const { topic, session, number, payload, at } = accept;
    const knownVerdict = this.findVerdict(topic, session, number);
    if (knownVerdict !== undefined) return knownVerdict;
    const record = this.#sessionsOf(topic).get(session) ?? { at: 0, ownerEpoch: 0, numbers: [], seqs: [], ats: [] };
    if (accept.ownerEpoch < record.ownerEpoch)
      return { kind: "unknown", reason: "the session has moved to another node" };
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
    this.#sessionsOf(topic).set(session, record);
    if (accept.isVoid) return { kind: "refused", code: "refused", reason: "refused for good" };
    return { kind: "accepted", stream: this.stream, incarnation: this.incarnation, seq, isFresh: true };
  }

  /** Removes the messages up to the sequence number `low`, at most up to the head. */
  trim(low: number): void {
    if (low <= this.low) return;
    const trimmedCount = Math.min(low, this.head) - this.low;
    for (const { topic, seq } of this.messages.slice(0, trimmedCount)) this.trims.set(topic, seq);
    this.messages = this.messages.slice(trimmedCount);
    this.low += trimmedCount;
  }

  /** Whether any session's last accepted number is older than a shard time. */
  hasSessionsBefore(at: number): boolean {
    for (const sessions of this.#sessionsByTopic.values())
      for (const record of sessions.values()) if (record.at < at) return true;
    return false;
  }

  /** Forgets the numbers of sessions that accepted nothing since a shard time: they are unknown from then on. */
  forgetSessions(before: number): void {
    for (const [topic, sessions] of this.#sessionsByTopic) {
      for (const [session, record] of sessions) if (record.at < before) sessions.delete(session);
      if (sessions.size === 0) this.#sessionsByTopic.delete(topic);
    }
  }

  /** Whether `forgetNumbers` would forget any. */
  hasNumbersBefore(at: number): boolean {
    for (const sessions of this.#sessionsByTopic.values())
      for (const record of sessions.values()) if (countForgettable(record, at) > 0) return true;
    return false;
  }

  /** Forgets the numbers taken before a shard time, except for the last `minKnownNumbers` of each session. */
  forgetNumbers(before: number): void {
    for (const sessions of this.#sessionsByTopic.values())
      for (const record of sessions.values()) {
        const count = countForgettable(record, before);
        if (count === 0) continue;
        record.numbers.splice(0, count);
        record.seqs.splice(0, count);
        record.ats.splice(0, count);
      }
  }

  /**
   * The log as a snapshot. The type names the message's fields, because an unknown field would be left out silently.
   */
  snapshot(): MessageInitShape<typeof StreamSnapshotSchema> {
    const { stream, incarnation, head, low, messages, keepMs } = this;
    const trims = [...this.trims].map(([topic, seq]) => ({ topic, seq }));
    const dedups = [...this.#sessionsByTopic].flatMap(([topic, sessions]) =>
      [...sessions].map(([session, record]) => ({ topic, session, ...record })),
    );
    return { stream, incarnation, head, low, messages, trims, dedups, keepMs };
  }

  /** A log of another incarnation that has no messages but knows the numbers that this one took. */
  withoutMessages(incarnation: string): StreamLog {
    const log = new StreamLog(this.stream, incarnation);
    for (const [topic, sessions] of this.#sessionsByTopic) log.#sessionsByTopic.set(topic, sessions);
    return log;
  }

  /** Restores a log from its snapshot. */
  static from(snapshot: StreamSnapshot): StreamLog {
    const log = new StreamLog(snapshot.stream, snapshot.incarnation);
    log.head = snapshot.head;
    log.low = snapshot.low;
    log.keepMs = snapshot.keepMs;
    log.messages = snapshot.messages;
    for (const { topic, seq } of snapshot.trims) log.trims.set(topic, seq);
    for (const { topic, session, at, ownerEpoch, numbers, seqs, ats } of snapshot.dedups) {
      const times = ats.length === numbers.length ? ats : numbers.map(() => 0);
      log.#sessionsOf(topic).set(session, { at, ownerEpoch, numbers, seqs, ats: times });
    }
    return log;
  }

  #sessionsOf(topic: string): Map<string, SessionRecord> {
    let sessions = this.#sessionsByTopic.get(topic);
    if (sessions === undefined) this.#sessionsByTopic.set(topic, (sessions = new Map()));
    return sessions;
  }
}

/** Whether a number that is not in the record may have been in it: only records of this size forget numbers. */
function mayBeForgotten({ numbers }: SessionRecord, number: number): boolean {
  return numbers.length >= StreamLog.minKnownNumbers && number < numbers[0]!;
}

/** Number of a session's oldest numbers that were taken before a shard time and need not stay known. */
function countForgettable({ ats }: SessionRecord, before: number): number {
  const maxCount = ats.length - StreamLog.minKnownNumbers;
  let count = 0;
  while (count < maxCount && ats[count]! < before) count += 1;
  return count;
}
