import type { StoreCall } from "../gen/cranetrack_pb.js";
import type { Body, BodyInit } from "./wire.js";

export type FrameCase = Exclude<Body, { case: undefined }>["case"];
type StoreCallCase = Exclude<StoreCall["call"], { case: undefined }>["case"];

/**
 * What may be done with a call whose outcome is unknown. `repeatable`: carrying it out twice, also late, does what
 * carrying it out once does, for the reason given. `once`: every hop sends it once, and one life of the asked process
 * carries it out at most once. `byContent`: the calls inside decide.
 */
type Repetition = { kind: "repeatable"; because: string } | { kind: "once"; because: string } | { kind: "byContent" };

/** A frame is a call, and then has these replies, a reply, or a message that nobody answers. */
type FrameKind =
  { kind: "call"; replies: readonly FrameCase[]; repetition: Repetition } | { kind: "reply" } | { kind: "message" };

const repeatable = (because: string): Repetition => ({ kind: "repeatable", because });
const once = (because: string): Repetition => ({ kind: "once", because });
const changesNothing = repeatable("it changes nothing");

/** Every kind of frame. A new kind does not compile until it is judged here. */
export const frameKinds = {
  ping: { kind: "call", replies: ["done", "fault"], repetition: changesNothing },
  foundingRequest: {
    kind: "call",
    replies: ["foundingReply"],
    repetition: repeatable("the founding's identity: the same agreement is kept again"),
  },
  storeCall: { kind: "call", replies: ["storeReply"], repetition: { kind: "byContent" } },
  storeBatch: { kind: "call", replies: ["storeBatchReply"], repetition: { kind: "byContent" } },
  prepare: {
    kind: "call",
    replies: ["prepareReply"],
    repetition: repeatable("the epoch, which only one holder has: the same promise is kept again"),
  },
  shardPull: { kind: "call", replies: ["shardPullReply"], repetition: changesNothing },
  publish: {
    kind: "call",
    replies: ["publishReply"],
    repetition: repeatable("session, topic and number: the log has each once and answers with its place"),
  },
  follow: {
    kind: "call",
    replies: ["followReply"],
    repetition: repeatable("the follow's identity and its serial: what is not newer is not heeded"),
  },
  followHeartbeats: {
    kind: "call",
    replies: ["followHeartbeatsReply"],
    repetition: repeatable("each beat's follow and serial: what is not newer is not heeded"),
  },
  fetch: { kind: "call", replies: ["fetchReply"], repetition: changesNothing },
  startRequest: { kind: "call", replies: ["startReply"], repetition: changesNothing },
  countRequest: { kind: "call", replies: ["countReply"], repetition: changesNothing },
  pull: {
    kind: "call",
    replies: ["pullReply"],
    repetition: repeatable(
      "the owner key's revision: what was shipped under it is kept and shipped again, then told as lost",
    ),
  },
  feedOpen: {
    kind: "call",
    replies: ["done", "fault"],
    repetition: repeatable("the feed's identity: opened again it begins anew"),
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
  txn: once("it may have no checks, and one with checks would conflict with itself"),
  read: changesNothing,
  claimOwners: once("a later one finds its own key, and may find none where the session was released meanwhile"),
  grant: repeatable(
    "the lease's identity: one that is there stays as it is, one brought back has no keys and runs out",
  ),
  renew: repeatable("its holder counts from when it sent the first: a later one only makes the store wait longer"),
  revoke: repeatable("the lease's identity: one that is gone stays gone"),
  join: repeatable("the member's identity"),
  feeds: changesNothing,
} as const satisfies Record<StoreCallCase, Repetition>;

type Kinds = typeof frameKinds;
export type CallCase = { [C in FrameCase]: Kinds[C]["kind"] extends "call" ? C : never }[FrameCase];
/** A frame's body that may be sent as a call. */
export type CallInit = Extract<BodyInit, { case: CallCase }>;

export function isCall(body: Body): body is Extract<Body, { case: CallCase }> {
  return body.case !== undefined && frameKinds[body.case].kind === "call";
}

/** Whether a body answers a call of this kind. */
export function isReplyTo(call: CallCase, reply: string | undefined): boolean {
  return frameKinds[call].replies.some((kind) => kind === reply);
}

/**
 * The one place that says whether a call may be sent again after a silence or a reset, by whoever sends it: the
 * client, a node that passes it on, a relay. Unknown kinds may not.
 */
export function mayRepeat(call: CallInit | Body): boolean {
  switch (call.case) {
    case "storeCall":
      return mayRepeatStoreCall(call.value.call?.case);
    case "storeBatch":
      return (call.value.calls ?? []).every((one) => mayRepeatStoreCall(one.call?.case));
    case "forward":
      return call.value.method === "GET";
    default: {
      const kind = call.case === undefined ? undefined : frameKinds[call.case];
      return kind?.kind === "call" && kind.repetition.kind === "repeatable";
    }
  }
}

/** The same for one call on the store, inside a frame or before it is in one. */
export function mayRepeatStoreCall(kind: StoreCallCase | undefined): boolean {
  return kind !== undefined && storeCallKinds[kind].kind === "repeatable";
}
