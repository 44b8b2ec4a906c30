import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { expect } from "earl";
import { EntrySchema, type Entry } from "@cranetrack/core/gen/cranetrack_pb.js";
import { LogGroups } from "@cranetrack/core/replication/logGroups.js";
import { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import { ShardState } from "../shards/shardState.js";
import { Replica, type ReplicaNode } from "./replica.js";

const disk: Disk = { read: () => [], write: () => Promise.resolve() };
const clock = { now: () => 0, once: () => ({ stop: () => undefined }), every: () => ({ stop: () => undefined }) };
const transport = {
  address: "here",
  send: () => undefined,
  isReachable: () => true,
  onFrame: () => undefined,
  onLost: () => undefined,
  drop: () => undefined,
};
const exchange = new RpcEndpoint("r", transport, clock);
const node: ReplicaNode = { exchange, groups: new LogGroups(exchange), parts: { clock } };
const noop = (index: number, term: number): Entry => create(EntrySchema, { index, term, kind: 1 });

async function holding(last: number): Promise<Replica> {
  const replica = new Replica(0, "r", disk, node);
  await replica.log.append(Array.from({ length: last }, (_, i) => noop(i + 1, 1)));
  return replica;
}

test("a pulled snapshot that this log has already takes away nothing behind it", async () => {
  const replica = await holding(10);
  const base = { index: 5, term: 1, snapshot: new ShardState().snapshot() };
  await replica.replace(true, base, [noop(6, 1), noop(7, 1)]);
  expect([replica.log.lastIndex, replica.applied]).toEqual([10, 5]);
});

test("a pulled snapshot takes the place of a log that conflicts with it", async () => {
  const replica = await holding(10);
  const base = { index: 5, term: 2, snapshot: new ShardState().snapshot() };
  await replica.replace(true, base, [noop(6, 2), noop(7, 2)]);
  expect([replica.log.baseIndex, replica.log.lastIndex, replica.applied]).toEqual([5, 7, 5]);
});
