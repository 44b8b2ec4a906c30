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

/** Replicas whose logs begin with entries of these terms. */
async function withTerms(...terms: number[]): Promise<Replica> {
  const replica = new Replica(0, "r", disk, node);
  await replica.log.promise(9, "");
  await replica.log.append(terms.map((term, i) => noop(i + 1, term)));
  return replica;
}

const bigSnapshot = (streams: number): Uint8Array =>
  toBinary(
    ShardSnapshotSchema,
    create(ShardSnapshotSchema, {
      streams: Array.from({ length: streams }, (_, i) => ({ stream: `${i}${"s".repeat(1000)}`, incarnation: "1" })),
      at: 1,
    }),
  );

/** A pull from one replica into another; `change` may alter or lose what comes. */
function pull(
  into: Replica,
  from: Replica,
  change: (answer: ShardPullReply, asked: number) => ShardPullReply | undefined = (answer) => answer,
): { run: Promise<boolean>; asked: Array<[after: number, offset: number]> } {
  const asked: Array<[number, number]> = [];
  const ask = (after: number, offset: number): Promise<ShardPullReply | undefined> => {
    asked.push([after, offset]);
    const body = from.pull(create(ShardPullSchema, { epoch: 9, after, offset }));
    const answer = body?.case === "shardPullReply" ? create(ShardPullReplySchema, body.value) : undefined;
    return Promise.resolve(answer === undefined ? undefined : change(answer, asked.length));
  };
  return { run: new LogPull(into, 9, ask).run(from.log.lastIndex), asked };
}

test("a pulled snapshot that this log has already takes away nothing, and no piece of it is awaited", async () => {
  const into = await withTerms(1, 1, 1, 1, 1, 1, 1);
  const from = await withTerms(1, 1, 1, 1, 1, 2);
  await from.log.compact(5, bigSnapshot(600));
  const pulled = pull(into, from);
  expect(into.log.lastIndex).toEqual(7);
  expect(await pulled.run).toEqual(true);
  expect([into.log.baseIndex, into.log.lastIndex, into.log.termAt(6), into.applied]).toEqual([0, 6, 2, 5]);
  expect(pulled.asked).toEqual([
    [0, 0],
    [5, 0],
  ]);
});

test("a big snapshot is pulled in pieces in place of a log that ends before it, also past lost answers", async () => {
  const into = await withTerms(1, 1);
  const from = await withTerms(1, 1, 2, 2, 2, 2);
  await from.log.compact(5, bigSnapshot(600));
  const pulled = pull(into, from, (answer, asked) => (asked % 2 === 0 ? undefined : answer));
  expect(await pulled.run).toEqual(true);
  expect([into.log.baseIndex, into.log.lastIndex, into.applied, into.state.streams.size]).toEqual([5, 6, 5, 600]);
  const offsets = pulled.asked.filter(([after]) => after === 0).map(([, offset]) => offset);
  expect(offsets).toEqual([...offsets].sort((a, b) => a - b));
  expect(new Set(offsets).size).toEqual(3);
});

test("a log that is compacted while its snapshot is pulled is asked for the new one", async () => {
  const into = await withTerms(1, 1);
  const from = await withTerms(1, 1, 2, 2, 2, 2);
  await from.log.compact(4, bigSnapshot(600));
  const pulled = pull(into, from, (answer, asked) => {
    if (asked === 2) void from.log.compact(5, bigSnapshot(700));
    return answer;
  });
  expect(await pulled.run).toEqual(true);
  expect([into.log.baseIndex, into.log.lastIndex, into.state.streams.size]).toEqual([5, 6, 700]);
});

test("what is pulled altered, out of order or never replaces nothing", async () => {
  const changes: Array<(answer: ShardPullReply) => ShardPullReply | undefined> = [
    (answer) => create(ShardPullReplySchema, { ...answer, snapshot: new Uint8Array(answer.snapshot.length) }),
    (answer) => create(ShardPullReplySchema, { ...answer, size: 1e12 }),
    (answer) => create(ShardPullReplySchema, { ...answer, isWhole: false, entries: [noop(7, 2)] }),
    () => undefined,
  ];
  for (const change of changes) {
    const into = await withTerms(1, 1);
    const from = await withTerms(1, 1, 2, 2, 2, 2);
    await from.log.compact(5, bigSnapshot(600));
    expect(await pull(into, from, change).run).toEqual(false);
    expect([into.log.lastIndex, into.log.baseIndex, into.applied]).toEqual([2, 0, 0]);
  }
});

test("a pulled snapshot takes the place of a log that conflicts with it", async () => {
  const into = await withTerms(1, 1, 1, 1, 1, 1, 1, 1);
  const from = await withTerms(1, 1, 2, 2, 2, 2);
  await from.log.compact(5, bigSnapshot(1));
  expect(await pull(into, from).run).toEqual(true);
  expect([into.log.baseIndex, into.log.lastIndex, into.log.termAt(6), into.applied]).toEqual([5, 6, 2, 5]);
});
