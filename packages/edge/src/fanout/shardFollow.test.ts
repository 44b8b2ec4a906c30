import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import {
  FollowReplySchema,
  PushSchema,
  StreamMessageSchema,
  type Push,
  type StreamMessage,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Body, BodyInit } from "@cranetrack/core/rpc/wire.js";
import { expect } from "earl";
import { ShardFollow } from "./shardFollow.js";
import { StreamTail } from "./streamTail.js";

const incarnation = "1-0123456789";
const stream = "6:notes/t1";
const message = (seq: number): StreamMessage =>
  create(StreamMessageSchema, { seq, session: "s", number: seq, topic: "notes/t1" });
const push = (follow: string, number: number, seqs: number[]): Push =>
  create(PushSchema, { follow, number, batches: [{ stream, incarnation, messages: seqs.map(message) }] });

/** A follow at a leader that answers a full follow and pushes pending messages at the same moment. */
function followWithPushes(pendingNumbers: number[]): { tail: StreamTail; follow: ShardFollow; asked: () => number } {
  let fullFollows = 0;
  const turns: Array<() => void> = [];
  const parts: Pick<ClusterNode, "rpc" | "parts" | "shards" | "configuration"> = {
    parts: {
      clock: { once: (_ms: number, fire: () => void) => (turns.push(fire), { stop: () => undefined }) },
      random: { identity: () => `identity-${fullFollows}` },
    } as ClusterNode["parts"],
    shards: { find: () => ({ leader: "anvil-1", epoch: 7 }) } as object as ClusterNode["shards"],
    configuration: { version: 3, isKept: () => true } as object as ClusterNode["configuration"],
    rpc: {
      name: "vise-1",
      call: (_to: string, body: BodyInit): Promise<Body | undefined> => {
        if (body.case !== "follow" || body.value.isFull !== true) return Promise.resolve(undefined);
        fullFollows += 1;
        const heads = [{ stream, incarnation, from: 0, low: 0 }];
        const value = create(FollowReplySchema, { outcome: "done", epoch: 7, number: 0, heads });
        const reply = Promise.resolve<Body>({ case: "followReply", value });
        // Both arrive in one network read: the reply resolves its promise, and the push is delivered before the code
        // that awaits the promise runs.
        follow.receive(push(body.value.follow!, 1, pendingNumbers));
        return reply;
      },
    } as object as ClusterNode["rpc"],
  };
  const follow = new ShardFollow(parts as ClusterNode, 0, () => new Map(), { take: () => true });
  const tail = new StreamTail({ stream, space: "notes/", spaceIncarnation: 1 }, 0);
  follow.add(tail);
  for (const fire of turns.splice(0)) fire();
  return { tail, follow, asked: () => fullFollows };
}

test("pushes that arrive together with the reply to their follow count and are not requested again", async () => {
  const { tail, follow, asked } = followWithPushes([1, 2, 3]);
  await new Promise<void>((resolve) => setImmediate(resolve));
  expect([tail.isConfirmed, tail.head, tail.messages.length]).toEqual([true, 3, 3]);
  // The leader has counted one push, and so has this edge: the leader would answer the heartbeat with "done".
  const heartbeat = follow.heartbeat()!;
  expect([heartbeat.seen, asked()]).toEqual([1, 1]);
});

test("a stream whose push arrives before the reply that confirms it is requested again", async () => {
  const turns: Array<() => void> = [];
  const asked: Array<{ streams: string[]; answer: (heads: object[]) => Promise<void> }> = [];
  const turn = (): Promise<void> => new Promise<void>((resolve) => setImmediate(resolve));
  const parts: Pick<ClusterNode, "rpc" | "parts" | "shards" | "configuration"> = {
    parts: {
      clock: { once: (_ms: number, fire: () => void) => (turns.push(fire), { stop: () => undefined }) },
      random: { identity: () => "identity" },
    } as ClusterNode["parts"],
    shards: { find: () => ({ leader: "anvil-1", epoch: 7 }) } as object as ClusterNode["shards"],
    configuration: { version: 3, isKept: () => true } as object as ClusterNode["configuration"],
    rpc: {
      name: "vise-1",
      call: (_to: string, body: BodyInit): Promise<Body | undefined> =>
        new Promise((resolve) => {
          const streams = body.case === "follow" ? (body.value.streams ?? []).map((at) => at.stream ?? "") : [];
          const answer = (heads: object[]): Promise<void> => {
            const value = create(FollowReplySchema, { outcome: "done", epoch: 7, number: 0, heads });
            resolve({ case: "followReply", value });
            return turn();
          };
          asked.push({ streams, answer });
        }),
    } as object as ClusterNode["rpc"],
  };
  const follow = new ShardFollow(parts as ClusterNode, 0, () => new Map(), { take: () => true });
  const add = async (name: string): Promise<StreamTail> => {
    const tail = new StreamTail({ stream: name, space: "notes/", spaceIncarnation: 1 }, 0);
    follow.add(tail);
    for (const fire of turns.splice(0)) fire();
    await turn();
    return tail;
  };
  const head = (name: string, from: number): object => ({ stream: name, incarnation, from, low: 0 });
  await add("6:notes/t0");
  await asked[0]!.answer([head("6:notes/t0", 0)]);
  const late = await add(stream);
  // The leader confirms the stream and then pushes its first message; the push arrives first.
  follow.receive(push("vise-1/identity", 1, [1]));
  await asked[1]!.answer([head(stream, 0)]);
  for (const fire of turns.splice(0)) fire();
  await turn();
  expect([late.isConfirmed, late.head]).toEqual([true, 0]);
  expect(asked.map(({ streams }) => streams)).toEqual([["6:notes/t0"], [stream], [stream]]);
});
