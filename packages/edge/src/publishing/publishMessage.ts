import type { MessageInitShape } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { mayRepeat, type CallInit } from "@cranetrack/core/rpc/callKinds.js";
import type { PublishReply, PublishSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Cursors } from "../subscriptions/cursor.js";
import { findRoute } from "./findRoute.js";
import { viewOf } from "../fanout/viewOf.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";

/**
 * Milliseconds that a shard without a leader is waited for, and between two attempts at one that does not serve yet.
 */
const claimMs = 300;
const retryDelayMs = 40;

/** What became of a publish; `away` and `refused` promise that it was not done and never will be. */
export type PublishOutcome =
  | { outcome: "accepted"; cursor: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; retryAfterSeconds: number; code?: string }
  | { outcome: "unsure"; reason: string; retryAfterSeconds: number };

/** One publish of an owned session, to its final answer. The shard's leader alone accepts or refuses it. */
export async function publishMessage(
  edge: EdgeParts,
  session: Session,
  topic: string,
  number: number,
  payload: string,
): Promise<PublishOutcome> {
  const { node } = edge;
  const now = node.parts.clock.now();
  const end = now + publishTimeoutMs(edge, topic);
  // What an earlier attempt may have handed over can't be promised undone.
  const isDoubtful = !session.isComplete(now) || session.numbers.isOpen(topic, number);
  const givenUp = (reason: string, retryAfterSeconds: number, code?: string): PublishOutcome =>
    isDoubtful
      ? { outcome: "unsure", reason, retryAfterSeconds }
      : { outcome: "away", reason, retryAfterSeconds, ...(code === undefined ? {} : { code }) };
  const route = await findRoute(edge, topic);
  if ("code" in route) {
    const { code, reason, retryAfterSeconds } = route;
    return retryAfterSeconds === undefined ? { outcome: "refused", code, reason } : givenUp(reason, retryAfterSeconds);
  }
  const shard = edge.streams.shardOf(route.stream);
  if (!(await isHeld(edge, shard, end))) return givenUp("the topic has no holder just now", 0.1);
  session.numbers.opened(topic, number);
  const publish = { shard, session: session.id, ownerEpoch: session.epoch, number, topic, ...viewOf(node, route) };
  const content = { payload: Buffer.from(payload), mayBeRepeat: isDoubtful };
  const reply = await atLeader(edge, shard, end, { ...publish, ...content });
  if (reply === undefined)
    return {
      outcome: "unsure",
      reason: "the topic's holder did not answer; the same number again",
      retryAfterSeconds: 0.2,
    };
  if (reply !== "unresponsive" && reply.outcome === "unsure")
    return { outcome: "unsure", reason: reply.reason, retryAfterSeconds: reply.retryAfterSeconds };
  if (!isDoubtful || (reply !== "unresponsive" && reply.outcome === "accepted"))
    session.numbers.resolved(topic, number);
  if (reply === "unresponsive") return givenUp("the topic's holder does not answer", 0.2);
  const { outcome, code, reason, retryAfterSeconds, incarnation, seq } = reply;
  if (outcome === "accepted") return { outcome: "accepted", cursor: Cursors.write(incarnation, seq) };
  if (outcome === "refused") return { outcome: "refused", code, reason };
  return givenUp(reason || "the topic is changing hands", retryAfterSeconds || 0.5, code || undefined);
}

/** How long a publish may take: its space's deadline is its callers', who must have the answer well before it. */
export function publishTimeoutMs(edge: EdgeParts, topic: string): number {
  const { deadlineMs = Infinity } = Configurations.spaceOf(edge.node.configuration.configuration, topic) ?? {};
  return Math.min(edge.publishTimeoutMs, deadlineMs / 2);
}

/** A shard that has just become free is claimed in a moment. */
async function isHeld(edge: EdgeParts, shard: number, end: number): Promise<boolean> {
  const { shards, parts } = edge.node;
  const left = Math.max(0, end - parts.clock.now());
  if (shards.find(shard).leader === "") await shards.moved(shard, "", parts.clock, Math.min(claimMs, left));
  return shards.find(shard).leader !== "";
}

/**
 * Hands a publish to the shard's leader, and to the next one where the shard changes hands meanwhile: its number
 * makes it the same message to both. Undefined where nobody answered; "mute" where nothing was handed over.
 */
async function atLeader(
  edge: EdgeParts,
  shard: number,
  end: number,
  publish: MessageInitShape<typeof PublishSchema>,
): Promise<PublishReply | "unresponsive" | undefined> {
  const { rpc, membership, shards, parts } = edge.node;
  let isOpen = false;
  for (let left = end - parts.clock.now(); left > 0; left = end - parts.clock.now()) {
    const { leader } = shards.find(shard);
    if (rpc.isUnresponsive(leader) && !membership.isAlive(leader)) return isOpen ? undefined : "unresponsive";
    const mayBeRepeat = isOpen || publish.mayBeRepeat === true;
    const call: CallInit = { case: "publish", value: { ...publish, mayBeRepeat } };
    // A short deadline gives this publish up, and not the leader, who may be slower than that and well.
    const body = await Promise.race([
      rpc.call(leader, call, edge.publishTimeoutMs),
      shards.moved(shard, leader, parts.clock, left),
    ]);
    const reply = body?.case === "publishReply" ? body.value : undefined;
    // Behind a try that nobody answered only what the log says for good is an answer to both.
    const isFinal = reply?.outcome === "accepted" || (reply?.outcome === "refused" && reply.code !== "unknown-topic");
    if (isFinal || (reply !== undefined && !isOpen && reply.reason !== "")) return reply;
    if (reply === undefined) isOpen = true;
    const isMoved = shards.find(shard).leader !== leader;
    if (reply === undefined && !(isMoved && mayRepeat(call))) return undefined;
    if (!(await isHeld(edge, shard, end))) return isOpen ? undefined : reply;
    // Whoever has just claimed it does not serve yet.
    if (!isMoved) await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return undefined;
}
