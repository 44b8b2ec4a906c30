import { test } from "node:test";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { FollowSchema, StreamMessageSchema, type Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { expect } from "earl";
import { StreamLog } from "../shards/streamLog.js";
import { StreamFollowers } from "./streamFollowers.js";
import type { PushBatcher } from "./pushBatcher.js";

const stream = "6:notes/t1";
const incarnation = "1-one";
const followOf = (more: MessageInitShape<typeof FollowSchema>): ReturnType<typeof create<typeof FollowSchema>> =>
  create(FollowSchema, { follow: "edge/1", ...more });

function followedStream(): { followers: StreamFollowers; pushed: Push[]; appendAndPush: () => void } {
  const log = new StreamLog(stream, incarnation);
  const pushed: Push[] = [];
  const node = { parts: { clock: { now: () => 0 } } } as ClusterNode;
  const pushBatcher = { send: (_edge: string, push: Push) => void pushed.push(push) } as PushBatcher;
  const followers = new StreamFollowers({
    node,
    shard: 0,
    epoch: 1,
    pushBatcher,
    findLog: () => log,
    isInMemory: () => false,
  });
  const appendAndPush = (): void => {
    log.head += 1;
    log.messages.push(create(StreamMessageSchema, { seq: log.head, topic: "notes/t1" }));
    followers.push([stream]);
  };
  const position = { stream, incarnation, after: 0, spaceIncarnation: 1 };
  followers.add(
    followOf({ isFull: true, serial: 1, streams: [position] }),
    followOf({ streams: [position] }).streams,
    "edge",
  );
  return { followers, pushed, appendAndPush };
}

test("the leader does not push a stream that a replica pushes, until the edge asks the leader for it again", () => {
  const { followers, pushed, appendAndPush } = followedStream();
  appendAndPush();
  expect(pushed.length).toEqual(1);
  expect(followers.onHeartbeat(followOf({ serial: 2, seen: 1, quiet: [{ stream, incarnation: "1-other" }] }))).toEqual(
    true,
  );
  appendAndPush();
  expect(pushed.length).toEqual(2);
  expect(followers.onHeartbeat(followOf({ serial: 3, seen: 2, quiet: [{ stream, incarnation }] }))).toEqual(true);
  appendAndPush();
  expect(pushed.length).toEqual(2);
  followers.add(followOf({ serial: 4 }), followOf({ streams: [{ stream, incarnation, after: 2 }] }).streams, "edge");
  appendAndPush();
  expect(pushed[2]!.batches[0]!.messages.map(({ seq }) => seq)).toEqual([3, 4]);
});

test("a delayed or duplicated heartbeat does not undo what a later one set", () => {
  const { followers, pushed, appendAndPush } = followedStream();
  expect(followers.onHeartbeat(followOf({ serial: 3, seen: 0 }))).toEqual(true);
  expect(followers.onHeartbeat(followOf({ serial: 2, seen: 0, quiet: [{ stream, incarnation }] }))).toEqual(false);
  expect(followers.onHeartbeat(followOf({ serial: 3, seen: 0, left: [stream] }))).toEqual(false);
  expect(followers.isStale(followOf({ serial: 3, isFull: true }))).toEqual(true);
  expect(followers.isStale(followOf({ follow: "edge/2", serial: 1 }))).toEqual(true);
  expect(followers.isStale(followOf({ follow: "edge/2", serial: 1, isFull: true }))).toEqual(false);
  appendAndPush();
  expect(pushed.length).toEqual(1);
});
