/** Reads of one stream's log: where a subscription starts, and messages after an offset. No I/O. */
import { create } from "@bufbuild/protobuf";
import {
  TopicStartSchema,
  type Fetch,
  type StreamMessage,
  type TopicCursor,
  type TopicStart,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { StreamLog } from "./streamLog.js";

/** Where a topic's subscription starts, according to the committed log: at the head if the cursor is empty. */
export function startInLog(log: StreamLog, cursor: TopicCursor): TopicStart {
  const { topic, incarnation, seq: cursorSeq } = cursor;
  const reply = (outcome: string, startSeq: number, reason = ""): TopicStart =>
    create(TopicStartSchema, { topic, outcome, incarnation: log.incarnation, seq: startSeq, reason });
  if (incarnation === "") return reply("known", log.head);
  const seq = seqInLog(log, incarnation, cursorSeq);
  if (seq === undefined && !isFromLaterVersion(cursor))
    return reply("expired", log.low, "the place is of another birth of the topic");
  if (seq === undefined || seq > log.head) return reply("unknown-place", 0, "there is no such place");
  const isTrimmed = (log.trims.get(topic) ?? 0) > seq;
  return isTrimmed ? reply("expired", log.low, "older messages were trimmed") : reply("known", seq);
}

/**
 * The same for a stream that keeps nothing; `log`, if any, has what was kept before. A cursor in the memory's tail
 * continues there, and a cursor in the log continues in the log. Any other starts at the head, because the contract
 * keeps nothing older.
 */
export function startInMemory(
  memory: StreamLog,
  log: StreamLog | undefined,
  { topic, incarnation, seq }: TopicCursor,
): TopicStart {
  const reply = (startIncarnation: string, startSeq: number): TopicStart =>
    create(TopicStartSchema, { topic, outcome: "known", incarnation: startIncarnation, seq: startSeq });
  if (incarnation === memory.incarnation && seq <= memory.head)
    return reply(memory.incarnation, Math.max(seq, memory.low));
  const position = log === undefined || incarnation === "" ? undefined : seqInLog(log, incarnation, seq);
  const isStillInLog = position !== undefined && position <= log!.head && (log!.trims.get(topic) ?? 0) <= position;
  const startsInLog = isStillInLog && (position < log!.head || !Incarnations.isInMemory(incarnation));
  return startsInLog ? reply(log!.incarnation, position) : reply(memory.incarnation, memory.head);
}

/** Whether the cursor names a log of a later configuration version than its sender knows: there can be no such log. */
function isFromLaterVersion({ incarnation, configurationVersion }: TopicCursor): boolean {
  const isInMemory = Incarnations.isInMemory(incarnation);
  return !isInMemory && Streams.spaceIncarnationOf(incarnation) > Math.max(1, configurationVersion);
}

/**
 * The sequence number in a stream's log that a cursor stands for; undefined if the cursor is of another stream or log.
 * A cursor from before the stream had a log stands for 0, the beginning of the log.
 */
function seqInLog(log: StreamLog, incarnation: string, seq: number): number | undefined {
  const position = Incarnations.logPosition(incarnation, seq);
  const own = Incarnations.logPosition(log.incarnation, 0);
  if (position === undefined || own === undefined) return undefined;
  if (position.identity === own.identity) return position.seq;
  return position.identity === Incarnations.noLogIdentity(log.stream) ? 0 : undefined;
}

/** A reply takes no further message after this many bytes. */
const maxSliceBytes = 1024 * 1024;
/** Bytes that a message counts in addition to its payload. */
const messageOverheadBytes = 64;

/** Messages after an offset, as many as fit into one reply; `low` is the offset before the first of `messages`. */
export function sliceMessages(
  messages: readonly StreamMessage[],
  low: number,
  after: number,
  maxCount: number,
): StreamMessage[] {
  const slice: StreamMessage[] = [];
  let bytes = 0;
  let i = Math.max(0, after - low);
  while (i < messages.length && slice.length < maxCount && bytes < maxSliceBytes) {
    slice.push(messages[i]!);
    bytes += messages[i]!.payload.length + messageOverheadBytes;
    i += 1;
  }
  return slice;
}

/**
 * Reply with a log's messages after an offset; where some of them were trimmed, also with the last trimmed sequence
 * number of each topic concerned.
 */
export function fetchMessages(log: StreamLog, fetch: Fetch): BodyInit {
  const { incarnation, low, head } = log;
  if (!Incarnations.isSame(incarnation, fetch.incarnation))
    return { case: "fetchReply", value: { outcome: "another-birth", low, head, batch: { incarnation } } };
  const messages = sliceMessages(log.messages, low, fetch.after, fetch.limit);
  const isTrimmed = fetch.after < low;
  const trims = isTrimmed
    ? [...log.trims].filter(([, seq]) => seq > fetch.after).map(([topic, seq]) => ({ topic, seq }))
    : [];
  const prev = (messages[0]?.seq ?? head + 1) - 1;
  const batch = { stream: fetch.stream, incarnation, prev, messages };
  return { case: "fetchReply", value: { outcome: isTrimmed ? "trimmed" : "done", low, head, batch, trims } };
}
