import type { MessageInitShape } from "@bufbuild/protobuf";
import type { TopicCursorSchema, TopicStart } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { EdgeParts } from "../edgeParts.js";

/** Milliseconds after which no more attempts are made. */
const totalTimeoutMs = 1500;
/** Milliseconds that a leader has to answer one call. */
const callTimeoutMs = 700;
/** Milliseconds between two attempts. */
const retryDelayMs = 80;

/** Asks a shard's leader where topics start, and the next leader if it changes; undefined if none answers in time. */
export async function askStarts(
  edge: EdgeParts,
  shard: number,
  cursors: Array<MessageInitShape<typeof TopicCursorSchema>>,
): Promise<Map<string, TopicStart> | undefined> {
  const { rpc, shards, parts } = edge.node;
  const deadline = parts.clock.now() + totalTimeoutMs;
  for (let remainingMs = totalTimeoutMs; remainingMs > 0; remainingMs = deadline - parts.clock.now()) {
    const { leader } = shards.find(shard);
    if (leader !== "") {
      const call = rpc.call(
        leader,
        { case: "startRequest", value: { shard, cursors } },
        Math.min(callTimeoutMs, remainingMs),
      );
      const reply = await Promise.race([call, shards.leaderChanged(shard, leader, parts.clock, remainingMs)]);
      if (reply?.case === "startReply" && reply.value.outcome === "done")
        return new Map(reply.value.starts.map((start) => [start.topic, start]));
    }
    await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return undefined;
}
