import { test } from "node:test";
import { create, toBinary } from "@bufbuild/protobuf";
import { expect } from "earl";
import {
  EntrySchema,
  ShardPullReplySchema,
  ShardPullSchema,
  ShardSnapshotSchema,
  type Entry,
  type ShardPullReply,
} from "@cranetrack/core/gen/cranetrack_pb.js";
import { LogGroups } from "@cranetrack/core/replication/logGroups.js";
import { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import { LogPull } from "../shards/logPull.js";
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
const random = { draw: () => 0, identity: () => "0123456789abcdef" };
const rpc = new RpcEndpoint("r", transport, clock, random);
const node: ReplicaNode = { rpc, groups: new LogGroups(rpc), parts: { clock } };
const noop = (index: number, term: number): Entry => create(EntrySchema, { index, term, kind: 1 });

/** A replica whose log begins with entries of these terms. */
async function replicaWithTerms(...terms: number[]): Promise<Replica> {
  const replica = new Replica(0, "r", disk, node);
  await replica.log.saveTermAndVote(9, "");
  await replica.log.append(terms.map((term, i) => noop(i + 1, term)));
  return replica;
}

/** A shard snapshot of about one kilobyte per stream. */
const snapshotWithStreams = (streams: number): Uint8Array =>
  toBinary(
    ShardSnapshotSchema,
    create(ShardSnapshotSchema, {
      streams: Array.from({ length: streams }, (_, i) => ({ stream: `${i}${"s".repeat(1000)}`, incarnation: "1" })),
      at: 1,
    }),
  );

/** Pulls from one replica into another; `alterReply` may change a reply or lose it. */
function pull(
  target: Replica,
  source: Replica,
  alterReply: (reply: ShardPullReply, requestCount: number) => ShardPullReply | undefined = (reply) => reply,
): { run: Promise<boolean>; requests: Array<[after: number, offset: number]> } {
  const requests: Array<[number, number]> = [];
  const requestLog = (after: number, offset: number): Promise<ShardPullReply | undefined> => {
    requests.push([after, offset]);
    const body = source.pull(create(ShardPullSchema, { epoch: 9, after, offset }));
    const reply = body?.case === "shardPullReply" ? create(ShardPullReplySchema, body.value) : undefined;
    return Promise.resolve(reply === undefined ? undefined : alterReply(reply, requests.length));
  };
  return { run: new LogPull(target, 9, requestLog).run(source.log.lastIndex), requests };
}

test("a pulled snapshot that this log already covers removes nothing, and no more of it is requested", async () => {
  const target = await replicaWithTerms(1, 1, 1, 1, 1, 1, 1);
  const source = await replicaWithTerms(1, 1, 1, 1, 1, 2);
  await source.log.compact(5, snapshotWithStreams(600));
  const pulled = pull(target, source);
  expect(target.log.lastIndex).toEqual(7);
  expect(await pulled.run).toEqual(true);
  expect([target.log.baseIndex, target.log.lastIndex, target.log.termAt(6), target.applied]).toEqual([0, 6, 2, 5]);
  expect(pulled.requests).toEqual([
    [0, 0],
    [5, 0],
  ]);
});

test("a large snapshot, pulled in pieces, replaces a log that ends before it, also when replies are lost", async () => {
  const target = await replicaWithTerms(1, 1);
  const source = await replicaWithTerms(1, 1, 2, 2, 2, 2);
  await source.log.compact(5, snapshotWithStreams(600));
  const pulled = pull(target, source, (reply, requestCount) => (requestCount % 2 === 0 ? undefined : reply));
  expect(await pulled.run).toEqual(true);
  expect([target.log.baseIndex, target.log.lastIndex, target.applied, target.state.streams.size]).toEqual([
    5, 6, 5, 600,
  ]);
  const offsets = pulled.requests.filter(([after]) => after === 0).map(([, offset]) => offset);
  expect(offsets).toEqual([...offsets].sort((a, b) => a - b));
  expect(new Set(offsets).size).toEqual(3);
});

test("when a log is compacted while its snapshot is pulled, the new snapshot is pulled", async () => {
  const target = await replicaWithTerms(1, 1);
  const source = await replicaWithTerms(1, 1, 2, 2, 2, 2);
  await source.log.compact(4, snapshotWithStreams(600));
  const pulled = pull(target, source, (reply, requestCount) => {
    if (requestCount === 2) void source.log.compact(5, snapshotWithStreams(700));
    return reply;
  });
  expect(await pulled.run).toEqual(true);
  expect([target.log.baseIndex, target.log.lastIndex, target.state.streams.size]).toEqual([5, 6, 700]);
});

test("replies that are altered, out of order or missing replace nothing", async () => {
  const alterations: Array<(reply: ShardPullReply) => ShardPullReply | undefined> = [
    (reply) => create(ShardPullReplySchema, { ...reply, snapshot: new Uint8Array(reply.snapshot.length) }),
    (reply) => create(ShardPullReplySchema, { ...reply, size: 1e12 }),
    (reply) => create(ShardPullReplySchema, { ...reply, isWhole: false, entries: [noop(7, 2)] }),
    () => undefined,
  ];
  for (const alterReply of alterations) {
    const target = await replicaWithTerms(1, 1);
    const source = await replicaWithTerms(1, 1, 2, 2, 2, 2);
    await source.log.compact(5, snapshotWithStreams(600));
    expect(await pull(target, source, alterReply).run).toEqual(false);
    expect([target.log.lastIndex, target.log.baseIndex, target.applied]).toEqual([2, 0, 0]);
  }
});

test("a pulled snapshot replaces a log that conflicts with it", async () => {
  const target = await replicaWithTerms(1, 1, 1, 1, 1, 1, 1, 1);
  const source = await replicaWithTerms(1, 1, 2, 2, 2, 2);
  await source.log.compact(5, snapshotWithStreams(1));
  expect(await pull(target, source).run).toEqual(true);
  expect([target.log.baseIndex, target.log.lastIndex, target.log.termAt(6), target.applied]).toEqual([5, 6, 2, 5]);
});
