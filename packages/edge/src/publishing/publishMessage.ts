import type { MessageInitShape } from "@bufbuild/protobuf";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import { mayRepeat, type CallInit } from "@cranetrack/core/rpc/callKinds.js";
import type { PublishReply, PublishSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Cursors } from "../subscriptions/cursor.js";
import { findRoute } from "./findRoute.js";
import { viewOf } from "../fanout/viewOf.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";

/** Milliseconds that a publish waits for a shard without a leader to get one. */
const leaderWaitMs = 300;
/** Milliseconds between two attempts at a leader that does not serve the shard yet. */
const retryDelayMs = 40;

/** The outcome of a publish. `away` and `refused` guarantee that the message was not published and never will be. */
export type PublishOutcome =
  | { outcome: "accepted"; cursor: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; retryAfterSeconds: number; code?: string }
  | { outcome: "unsure"; reason: string; retryAfterSeconds: number };

/**
 * Publishes one message of a session that this node owns. Only the shard's leader accepts or refuses it. A number whose
 * publish is pending shares the outcome of that.
 */
export function publishMessage(
  edge: EdgeParts,
  session: Session,
  topic: string,
  number: number,
  payload: string,
): Promise<PublishOutcome> {
  return session.pendingPublishes.share(topic, number, () => attemptPublish(edge, session, topic, number, payload));
}

async function attemptPublish(
  edge: EdgeParts,
  session: Session,
  topic: string,
  number: number,
  payload: string,
): Promise<PublishOutcome> {
  const { node } = edge;
  const now = node.parts.clock.now();
  const deadline = now + publishTimeoutMs(edge, topic);
  // What may have been accepted can't be reported as not published.
  const mayBeAccepted = !session.knowsAllNumbers(now) || session.numbers.mayHaveBeenAccepted(topic, number);
  const giveUp = (reason: string, retryAfterSeconds: number, code?: string): PublishOutcome =>
    mayBeAccepted
      ? { outcome: "unsure", reason, retryAfterSeconds }
      : { outcome: "away", reason, retryAfterSeconds, ...(code === undefined ? {} : { code }) };
  const route = await findRoute(edge, topic);
  if ("code" in route) {
    const { code, reason, retryAfterSeconds } = route;
    return retryAfterSeconds === undefined ? { outcome: "refused", code, reason } : giveUp(reason, retryAfterSeconds);
  }
  const shard = edge.streams.shardOf(route.stream);
  if (!(await waitForLeader(edge, shard, deadline))) return giveUp("the topic has no holder just now", 0.1);
  // The next owner was told which numbers had been sent, so nothing may be sent after that.
  if (session.isStopped || !edge.lease.isHeld)
    return { outcome: "unsure", reason: "the session moved on meanwhile", retryAfterSeconds: 0.3 };
  const view = viewOf(node, route);
  const mayBeInMemory = session.numbers.mayBeInMemory(topic, number);
  session.numbers.recordSent(topic, number, !view.isKept);
  const publish = { shard, session: session.id, ownerEpoch: session.epoch, number, topic, ...view };
  const content = { payload: Buffer.from(payload), mayBeRepeat: mayBeAccepted, mayBeInMemory };
  const reply = await publishAtLeader(edge, shard, deadline, { ...publish, ...content });
  if (reply === undefined)
    return {
      outcome: "unsure",
      reason: "the topic's holder did not answer; the same number again",
      retryAfterSeconds: 0.2,
    };
  if (reply !== "unresponsive" && reply.outcome === "unsure")
    return { outcome: "unsure", reason: reply.reason, retryAfterSeconds: reply.retryAfterSeconds };
  const isAccepted = reply !== "unresponsive" && reply.outcome === "accepted";
  if (!mayBeAccepted && !isAccepted) session.numbers.recordNotAccepted(topic, number);
  if (reply === "unresponsive") return giveUp("the topic's holder does not answer", 0.2);
  const { outcome, code, reason, retryAfterSeconds, incarnation, seq } = reply;
  if (outcome === "accepted") return { outcome: "accepted", cursor: Cursors.write(incarnation, seq) };
  if (outcome === "refused") return { outcome: "refused", code, reason };
  return giveUp(reason || "the topic is changing hands", retryAfterSeconds || 0.5, code || undefined);
}

/**
 * How long a publish may take, in milliseconds. The space's deadline is that of the clients, which must get the answer
 * well before it, so a publish has half of it.
 */
export function publishTimeoutMs(edge: EdgeParts, topic: string): number {
  const { deadlineMs = Infinity } = Configurations.spaceOf(edge.node.configuration.configuration, topic) ?? {};
  return Math.min(edge.publishTimeoutMs, deadlineMs / 2);
}

/** Waits for a shard without a leader to get one, as it is usually claimed soon; returns whether it has one. */
async function waitForLeader(edge: EdgeParts, shard: number, deadline: number): Promise<boolean> {
  const { shards, parts } = edge.node;
  const remainingMs = Math.max(0, deadline - parts.clock.now());
  if (shards.find(shard).leader === "")
    await shards.leaderChanged(shard, "", parts.clock, Math.min(leaderWaitMs, remainingMs));
  return shards.find(shard).leader !== "";
}

/**
 * Sends a publish to the shard's leader, and to the next leader if the leader changes meanwhile: the number makes it
 * the same message to both. Returns undefined if no leader answered, and "unresponsive" if nothing was sent.
 */
async function publishAtLeader(
  edge: EdgeParts,
  shard: number,
  deadline: number,
  publish: MessageInitShape<typeof PublishSchema>,
): Promise<PublishReply | "unresponsive" | undefined> {
  const { rpc, membership, shards, parts } = edge.node;
  let hasOpenAttempt = false;
  for (let remainingMs = deadline - parts.clock.now(); remainingMs > 0; remainingMs = deadline - parts.clock.now()) {
    const { leader } = shards.find(shard);
    if (rpc.isUnresponsive(leader) && !membership.isAlive(leader)) return hasOpenAttempt ? undefined : "unresponsive";
    const mayBeRepeat = hasOpenAttempt || publish.mayBeRepeat === true;
    const call: CallInit = { case: "publish", value: { ...publish, mayBeRepeat } };
    // A short space deadline must not count as a timeout of the leader, which may be slower than that and healthy.
    const body = await Promise.race([
      rpc.call(leader, call, edge.publishTimeoutMs),
      shards.leaderChanged(shard, leader, parts.clock, remainingMs),
    ]);
    const reply = body?.case === "publishReply" ? body.value : undefined;
    // After an unanswered attempt, only an answer that follows from the log is final for that attempt as well.
    const isFinal = reply?.outcome === "accepted" || (reply?.outcome === "refused" && reply.code !== "unknown-topic");
    if (isFinal || (reply !== undefined && !hasOpenAttempt && reply.reason !== "")) return reply;
    if (reply === undefined) hasOpenAttempt = true;
    const isMoved = shards.find(shard).leader !== leader;
    if (reply === undefined && !(isMoved && mayRepeat(call))) return undefined;
    if (!(await waitForLeader(edge, shard, deadline))) return hasOpenAttempt ? undefined : reply;
    // A leader that has just claimed the shard does not serve it yet.
    if (!isMoved) await new Promise<void>((resolve) => void parts.clock.once(retryDelayMs, resolve));
  }
  return undefined;
}
