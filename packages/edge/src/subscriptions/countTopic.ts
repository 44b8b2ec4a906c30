import type { EdgeParts } from "../edgeParts.js";

const maxMs = 1500;
const callMs = 500;
const retryDelayMs = 80;
const retryAfterSeconds = 0.5;

/** As `Counted` of the client endpoint. */
export type Count =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; retryAfterSeconds: number };

/** Subscribers of a topic at all edges, from the shard's leader, or the next one where it changes. */
export async function countTopic(edge: EdgeParts, topic: string): Promise<Count> {
  const { rpc, shards, parts, configuration } = edge.node;
  const end = parts.clock.now() + maxMs;
  for (let left = maxMs; left > 0; left = end - parts.clock.now()) {
    const route = configuration.route(topic);
    if (route === undefined) {
      const fault = await edge.configurationCheck.faultOf(topic);
      return fault.retryAfterSeconds === undefined
        ? { outcome: "unknown-topic" }
        : { outcome: "away", retryAfterSeconds: fault.retryAfterSeconds };
    }
    const shard = edge.streams.shardOf(route.stream);
    const { leader } = shards.find(shard);
    if (leader !== "") {
      const ask = rpc.call(leader, { case: "countRequest", value: { shard, topics: [topic] } }, Math.min(callMs, left));
      const reply = await Promise.race([ask, shards.moved(shard, leader, parts.clock, left)]);
      const found = reply?.case === "countReply" ? reply.value.counts[0] : undefined;
      // A leader that does not know the space is behind, or this edge is: which it is shows in a moment.
      if (found?.fault === "") return { outcome: "counted", count: found.count };
    }
    await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return { outcome: "away", retryAfterSeconds };
}
