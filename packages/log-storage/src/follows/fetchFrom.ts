import type { Fetch } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import type { StreamLog } from "../shards/streamLog.js";
import { StreamFollowers } from "./follows.js";

/** Messages of a committed log after a place, or what was trimmed after it. */
export function fetchFrom(log: StreamLog, fetch: Fetch): BodyInit {
  const { incarnation, low, head } = log;
  if (incarnation !== fetch.incarnation)
    return { case: "fetchReply", value: { outcome: "another-birth", low, head, batch: { incarnation } } };
  const messages = StreamFollowers.slice(log.messages, low, fetch.after, fetch.limit);
  const isTrimmed = fetch.after < low;
  const trims = isTrimmed
    ? [...log.trims].filter(([, seq]) => seq > fetch.after).map(([topic, seq]) => ({ topic, seq }))
    : [];
  const prev = (messages[0]?.seq ?? head + 1) - 1;
  const batch = { stream: fetch.stream, incarnation, prev, messages };
  return { case: "fetchReply", value: { outcome: isTrimmed ? "trimmed" : "done", low, head, batch, trims } };
}
