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
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { StreamLog } from "./streamLog.js";

/** Where a topic's subscription starts, by the committed log. Without a cursor it is the head. */
export function startInLog(log: StreamLog, { topic, incarnation, seq, spaceIncarnation }: TopicCursor): TopicStart {
  const reply = (outcome: string, at: number, reason = ""): TopicStart =>
    create(TopicStartSchema, { topic, outcome, incarnation: log.incarnation, seq: at, reason });
  if (incarnation === "") return reply("known", log.head);
  const isUnknownCursor =
    Streams.spaceIncarnationOf(incarnation) === 0 || Streams.spaceIncarnationOf(incarnation) > spaceIncarnation;
  if (isUnknownCursor || (incarnation === log.incarnation && seq > log.head))
    return reply("unknown-place", 0, "there is no such place");
  if (incarnation !== log.incarnation) return reply("expired", log.low, "the place is of another birth of the topic");
  const isTrimmed = (log.trims.get(topic) ?? 0) > seq;
  return isTrimmed ? reply("expired", log.low, "older messages were trimmed") : reply("known", seq);
}

/**
 * The same in a stream that keeps nothing: a cursor of another incarnation, or beyond the head, starts at the head, as
 * the contract keeps nothing older; one in the tail goes on from there.
 */
export function startInMemory(log: StreamLog, { topic, incarnation, seq }: TopicCursor): TopicStart {
  const isInTail = incarnation === log.incarnation && seq <= log.head;
  return create(TopicStartSchema, {
    topic,
    outcome: "known",
    incarnation: log.incarnation,
    seq: isInTail ? Math.max(seq, log.low) : log.head,
  });
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
  if (incarnation !== fetch.incarnation)
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
