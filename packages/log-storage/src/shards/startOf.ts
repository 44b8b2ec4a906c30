import { create } from "@bufbuild/protobuf";
import { TopicStartSchema, type TopicCursor, type TopicStart } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Streams } from "@cranetrack/core/configuration/streams.js";
import type { StreamLog } from "./streamLog.js";

/** Where a topic's subscription starts, judged by the committed log. Without a place it is the head. */
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
 * The same in a stream that keeps nothing: a place of another incarnation, or one that is no place, starts at the head,
 * for nothing older is owed; one in the tail goes on from there.
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
