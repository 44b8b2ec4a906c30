import { test } from "node:test";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { FollowSchema, StreamMessageSchema, type Push } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { expect } from "earl";
import { StreamLog } from "../shards/streamLog.js";
import { StreamFollowers } from "./follows.js";
import type { PushBatcher } from "./pushTurn.js";

const stream = "6:notes/t1";
const incarnation = "1-one";
const say = (more: MessageInitShape<typeof FollowSchema>): ReturnType<typeof create<typeof FollowSchema>> =>
  create(FollowSchema, { follow: "edge/1", ...more });

function follows(): { table: StreamFollowers; pushed: Push[]; add: () => void } {
  const log = new StreamLog(stream, incarnation);
  const pushed: Push[] = [];
  const node = { parts: { clock: { now: () => 0 } } } as ClusterNode;
  const pushBatcher = { send: (_edge: string, push: Push) => void pushed.push(push) } as PushBatcher;
  const table = new StreamFollowers({
    node,
    shard: 0,
    epoch: 1,
    pushBatcher,
    find: () => log,
    isInMemory: () => false,
  });
  const add = (): void => {
    log.head += 1;
    log.messages.push(create(StreamMessageSchema, { seq: log.head, topic: "notes/t1" }));
    table.push([stream]);
  };
  const at = { stream, incarnation, after: 0, spaceIncarnation: 1 };
  table.admit(say({ isFull: true, serial: 1, streams: [at] }), say({ streams: [at] }).streams, "edge");
  return { table, pushed, add };
}

test("what a replica serves is not pushed by the leader, until the edge asks for it again", () => {
  const { table, pushed, add } = follows();
  add();
  expect(pushed.length).toEqual(1);
  expect(table.onHeartbeat(say({ serial: 2, seen: 1, quiet: [{ stream, incarnation: "1-other" }] }))).toEqual(true);
  add();
  expect(pushed.length).toEqual(2);
  expect(table.onHeartbeat(say({ serial: 3, seen: 2, quiet: [{ stream, incarnation }] }))).toEqual(true);
  add();
  expect(pushed.length).toEqual(2);
  table.admit(say({ serial: 4 }), say({ streams: [{ stream, incarnation, after: 2 }] }).streams, "edge");
  add();
  expect(pushed[2]!.batches[0]!.messages.map(({ seq }) => seq)).toEqual([3, 4]);
});

test("a beat that was delayed or doubled on its way undoes nothing that was said after it", () => {
  const { table, pushed, add } = follows();
  expect(table.onHeartbeat(say({ serial: 3, seen: 0 }))).toEqual(true);
  expect(table.onHeartbeat(say({ serial: 2, seen: 0, quiet: [{ stream, incarnation }] }))).toEqual(false);
  expect(table.onHeartbeat(say({ serial: 3, seen: 0, left: [stream] }))).toEqual(false);
  expect(table.isStale(say({ serial: 3, isFull: true }))).toEqual(true);
  expect(table.isStale(say({ follow: "edge/2", serial: 1 }))).toEqual(true);
  expect(table.isStale(say({ follow: "edge/2", serial: 1, isFull: true }))).toEqual(false);
  add();
  expect(pushed.length).toEqual(1);
});
