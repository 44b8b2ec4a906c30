import type { EdgeParts } from "../edgeParts.js";

/** Milliseconds after which no more attempts are made. */
const totalTimeoutMs = 1500;
/** Milliseconds that a leader has to answer one call. */
const callTimeoutMs = 500;
/** Milliseconds between two attempts. */
const retryDelayMs = 80;
/** Seconds after which a client may ask again if no leader answered. */
const retryAfterSeconds = 0.5;

/** The result of `countTopic`; the same as `CountResult` of the client endpoint. */
export type TopicCountResult =
  { outcome: "counted"; count: number } | { outcome: "unknown-topic" } | { outcome: "away"; retryAfterSeconds: number };

/** Asks the shard's leader for a topic's number of subscribers at all edges, and the next leader if it changes. */
export async function countTopic(edge: EdgeParts, topic: string): Promise<TopicCountResult> {
  const { rpc, shards, parts, configuration } = edge.node;
  const deadline = parts.clock.now() + totalTimeoutMs;
  for (let remainingMs = totalTimeoutMs; remainingMs > 0; remainingMs = deadline - parts.clock.now()) {
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
      const call = rpc.call(
        leader,
        { case: "countRequest", value: { shard, topics: [topic] } },
        Math.min(callTimeoutMs, remainingMs),
      );
      const reply = await Promise.race([call, shards.leaderChanged(shard, leader, parts.clock, remainingMs)]);
      const found = reply?.case === "countReply" ? reply.value.counts[0] : undefined;
      // A leader that does not know the space has an older configuration, or this edge has: both soon have the newest.
      if (found?.fault === "") return { outcome: "counted", count: found.count };
    }
    await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return { outcome: "away", retryAfterSeconds };
}
