import type { MessageInitShape } from "@bufbuild/protobuf";
import type { TopicCursorSchema, TopicStart } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { EdgeParts } from "../edgeParts.js";

const maxMs = 1500;
const callMs = 700;
const retryDelayMs = 80;

/** Asks a shard's leader where topics start, and the next leader where it changes; undefined where none answers. */
export async function askStarts(
  edge: EdgeParts,
  shard: number,
  cursors: Array<MessageInitShape<typeof TopicCursorSchema>>,
): Promise<Map<string, TopicStart> | undefined> {
  const { rpc, shards, parts } = edge.node;
  const end = parts.clock.now() + maxMs;
  for (let left = maxMs; left > 0; left = end - parts.clock.now()) {
    const { leader } = shards.find(shard);
    if (leader !== "") {
      const ask = rpc.call(leader, { case: "startRequest", value: { shard, cursors } }, Math.min(callMs, left));
      const reply = await Promise.race([ask, shards.moved(shard, leader, parts.clock, left)]);
      if (reply?.case === "startReply" && reply.value.outcome === "done")
        return new Map(reply.value.starts.map((start) => [start.topic, start]));
    }
    await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return undefined;
}
