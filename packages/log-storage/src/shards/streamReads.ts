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

/** Where a topic's subscription starts, by the committed log. Without a cursor it is the head. */
export function startInLog(log: StreamLog, cursor: TopicCursor): TopicStart {
  const { topic, incarnation, seq: asked } = cursor;
  const reply = (outcome: string, at: number, reason = ""): TopicStart =>
    create(TopicStartSchema, { topic, outcome, incarnation: log.incarnation, seq: at, reason });
  if (incarnation === "") return reply("known", log.head);
  const seq = placeIn(log, incarnation, asked);
  if (seq === undefined && !isUnheardOf(cursor))
    return reply("expired", log.low, "the place is of another birth of the topic");
  if (seq === undefined || seq > log.head) return reply("unknown-place", 0, "there is no such place");
  const isTrimmed = (log.trims.get(topic) ?? 0) > seq;
  return isTrimmed ? reply("expired", log.low, "older messages were trimmed") : reply("known", seq);
}

/**
 * The same in a stream that keeps nothing, whose log, if any, has what was kept before. One in the tail goes on from
 * there, and a place in the log from there. All others start at the head, as the contract keeps nothing older.
 */
export function startInMemory(
  memory: StreamLog,
  log: StreamLog | undefined,
  { topic, incarnation, seq }: TopicCursor,
): TopicStart {
  const reply = (of: string, at: number): TopicStart =>
    create(TopicStartSchema, { topic, outcome: "known", incarnation: of, seq: at });
  if (incarnation === memory.incarnation && seq <= memory.head)
    return reply(memory.incarnation, Math.max(seq, memory.low));
  const place = log === undefined || incarnation === "" ? undefined : placeIn(log, incarnation, seq);
  const isReadable = place !== undefined && place <= log!.head && (log!.trims.get(topic) ?? 0) <= place;
  const isNew = isReadable && (place < log!.head || !Incarnations.isInMemory(incarnation));
  return isNew ? reply(log!.incarnation, place) : reply(memory.incarnation, memory.head);
}

/** No log is of a version that there was not yet. */
function isUnheardOf({ incarnation, configurationVersion }: TopicCursor): boolean {
  const isOfMemory = Incarnations.isInMemory(incarnation);
  return !isOfMemory && Streams.spaceIncarnationOf(incarnation) > Math.max(1, configurationVersion);
}

/**
 * The place of a cursor in a stream's log; undefined where it is of another stream or log. One that was given before
 * the stream had a log stands before all of it.
 */
function placeIn(log: StreamLog, incarnation: string, seq: number): number | undefined {
  const position = Incarnations.logPosition(incarnation, seq);
  const own = Incarnations.logPosition(log.incarnation, 0);
  if (position === undefined || own === undefined) return undefined;
  if (position.identity === own.identity) return position.seq;
  return position.identity === Incarnations.noLogIdentity(log.stream) ? 0 : undefined;
}

/** The bytes of messages after which a reply takes no further one; a message counts 64 beside its payload. */
const maxSliceBytes = 1024 * 1024;
const messageOverheadBytes = 64;

/** Messages after an offset, as many as fit one reply; `low` is the offset before the first of them. */
export function sliceMessages(
  messages: readonly StreamMessage[],
  low: number,
  after: number,
  maxCount: number,
): StreamMessage[] {
  const found: StreamMessage[] = [];
  let bytes = 0;
  let i = Math.max(0, after - low);
  while (i < messages.length && found.length < maxCount && bytes < maxSliceBytes) {
    found.push(messages[i]!);
    bytes += messages[i]!.payload.length + messageOverheadBytes;
    i += 1;
  }
  return found;
}

/** Messages of a committed log after an offset, or what was trimmed after it. */
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
