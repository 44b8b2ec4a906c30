import type { StoreCall } from "../gen/cranetrack_pb.js";
import type { Body, BodyInit } from "./wire.js";

/** The name of a kind of frame. */
export type FrameCase = Exclude<Body, { case: undefined }>["case"];
type StoreCallCase = Exclude<StoreCall["call"], { case: undefined }>["case"];

/**
 * Whether a call whose outcome is unknown may be sent again. `repeatable`: the call is idempotent, also when it is
 * executed late, for the reason given. `once`: every hop sends the call once, and one incarnation of the callee
 * executes it at most once. `byContent`: the content of the call decides, such as the calls in a batch.
 */
type Repetition = { kind: "repeatable"; reason: string } | { kind: "once"; reason: string } | { kind: "byContent" };

/** A frame is a call with the kinds of its replies, a reply, or a one-way message. */
type FrameKind =
  { kind: "call"; replies: readonly FrameCase[]; repetition: Repetition } | { kind: "reply" } | { kind: "message" };

const repeatable = (reason: string): Repetition => ({ kind: "repeatable", reason });
const atMostOnce = (reason: string): Repetition => ({ kind: "once", reason });
const readOnly = repeatable("it changes nothing");

/** Every kind of frame. A new kind does not compile until it is classified here. */
export const frameKinds = {
  ping: { kind: "call", replies: ["done", "fault"], repetition: readOnly },
  foundingRequest: {
    kind: "call",
    replies: ["foundingReply"],
    repetition: repeatable("idempotent by the founding's id: the same agreement is stored again"),
  },
  storeCall: { kind: "call", replies: ["storeReply"], repetition: { kind: "byContent" } },
  storeBatch: { kind: "call", replies: ["storeBatchReply"], repetition: { kind: "byContent" } },
  prepare: {
    kind: "call",
    replies: ["prepareReply"],
    repetition: repeatable("idempotent by the epoch, which only one leader has: the same promise is stored again"),
  },
  shardPull: { kind: "call", replies: ["shardPullReply"], repetition: readOnly },
  publish: {
    kind: "call",
    replies: ["publishReply"],
    repetition: repeatable(
      "idempotent by session, topic and number: the log stores each once and replies with its position",
    ),
  },
  follow: {
    kind: "call",
    replies: ["followReply"],
    repetition: repeatable("idempotent by the follow's id and serial: a request that is not newer is ignored"),
  },
  followHeartbeats: {
    kind: "call",
    replies: ["followHeartbeatsReply"],
    repetition: repeatable(
      "idempotent by the follow and serial of each heartbeat: a heartbeat that is not newer is ignored",
    ),
  },
  fetch: { kind: "call", replies: ["fetchReply"], repetition: readOnly },
  startRequest: { kind: "call", replies: ["startReply"], repetition: readOnly },
  countRequest: { kind: "call", replies: ["countReply"], repetition: readOnly },
  pull: {
    kind: "call",
    replies: ["pullReply"],
    repetition: repeatable(
      "idempotent by the owner key's revision: the state sent for it is kept and sent again, later reported as lost",
    ),
  },
  feedOpen: {
    kind: "call",
    replies: ["done", "fault"],
    repetition: repeatable("idempotent by the feed's id: a feed that is opened again starts from the beginning"),
  },
  forward: { kind: "call", replies: ["forwardReply"], repetition: { kind: "byContent" } },

  done: { kind: "reply" },
  fault: { kind: "reply" },
  staleIncarnation: { kind: "reply" },
  foundingReply: { kind: "reply" },
  storeReply: { kind: "reply" },
  storeBatchReply: { kind: "reply" },
  prepareReply: { kind: "reply" },
  shardPullReply: { kind: "reply" },
  publishReply: { kind: "reply" },
  followReply: { kind: "reply" },
  fetchReply: { kind: "reply" },
  startReply: { kind: "reply" },
  followHeartbeatsReply: { kind: "reply" },
  countReply: { kind: "reply" },
  pullReply: { kind: "reply" },
  forwardReply: { kind: "reply" },

  gossip: { kind: "message" },
  founded: { kind: "message" },
  vote: { kind: "message" },
  voteReply: { kind: "message" },
  append: { kind: "message" },
  appendReply: { kind: "message" },
  snapshot: { kind: "message" },
  yield: { kind: "message" },
  feedPush: { kind: "message" },
  feedAck: { kind: "message" },
  feedClose: { kind: "message" },
  push: { kind: "message" },
  pushes: { kind: "message" },
  commits: { kind: "message" },
  relay: { kind: "message" },
} as const satisfies Record<FrameCase, FrameKind>;

/** Every call on the metadata store. */
export const storeCallKinds = {
  txn: atMostOnce("a transaction may have no checks, and one with checks would conflict with its own first execution"),
  read: readOnly,
  claimOwners: atMostOnce("a repeated claim finds its own key, or none if the session was released in the meantime"),
  grant: repeatable(
    "idempotent by the lease's id: an existing lease is unchanged, one created again has no keys and expires",
  ),
  renew: repeatable("the holder counts from its first request: a later execution only makes the store wait longer"),
  revoke: repeatable("idempotent by the lease's id: a revoked lease stays revoked"),
  join: repeatable("idempotent by the member's id"),
  feeds: readOnly,
} as const satisfies Record<StoreCallCase, Repetition>;

type Kinds = typeof frameKinds;
/** The name of a kind of frame that is a call. */
export type CallCase = { [C in FrameCase]: Kinds[C]["kind"] extends "call" ? C : never }[FrameCase];
/** A frame's body that may be sent as a call. */
export type CallInit = Extract<BodyInit, { case: CallCase }>;

/** Whether a body is a call, which expects a reply. */
export function isCall(body: Body): body is Extract<Body, { case: CallCase }> {
  return body.case !== undefined && frameKinds[body.case].kind === "call";
}

/** Whether a body answers a call of this kind. */
export function isReplyTo(call: CallCase, reply: string | undefined): boolean {
  return frameKinds[call].replies.some((kind) => kind === reply);
}

/**
 * Whether a call may be sent again after a timeout or a connection reset. The client, a node that forwards the call and
 * a relay all follow this one rule. Calls of unknown kinds may not be repeated.
 */
export function mayRepeat(call: CallInit | Body): boolean {
  switch (call.case) {
    case "storeCall":
      return mayRepeatStoreCall(call.value.call?.case);
    case "storeBatch":
      return (call.value.calls ?? []).every((storeCall) => mayRepeatStoreCall(storeCall.call?.case));
    case "forward":
      return call.value.method === "GET";
    default: {
      const kind = call.case === undefined ? undefined : frameKinds[call.case];
      return kind?.kind === "call" && kind.repetition.kind === "repeatable";
    }
  }
}

/** Whether a single store call may be repeated, before or after it is put into a frame. */
export function mayRepeatStoreCall(kind: StoreCallCase | undefined): boolean {
  return kind !== undefined && storeCallKinds[kind].kind === "repeatable";
}
