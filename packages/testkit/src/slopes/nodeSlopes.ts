import { create, toBinary } from "@bufbuild/protobuf";
import { KvSchema, MemberSchema, type Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ConfigurationReader } from "@cranetrack/core/configuration/configurationReader.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import { ShardsView } from "@cranetrack/core/feeds/shardsView.js";
import type { Change } from "@cranetrack/core/feeds/feedFollower.js";
import { ChangeJournal } from "@cranetrack/core/feeds/changeJournal.js";
import { MemberTable } from "@cranetrack/core/membership/memberTable.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import { Cost } from "./cost.js";
import { Meter } from "./meter.js";

const disk = (node: number): string => `${node}`.padStart(32, "0123456789abcdef");
const shardKeys = (shard: number): Change[] => {
  const members = [0, 1, 2].map((i) => {
    const node = (shard + i) % 3200;
    return { id: disk(node), name: `anvil-${node}`, zone: `zone-${i}` };
  });
  const leader = { name: members[0]!.name, id: members[0]!.id, lease: `${members[0]!.name}/0123456789abcdef` };
  return [
    { key: ReplicasKey.of(shard), value: ReplicasKey.write({ members }), revision: shard + 1 },
    { key: ShardLeaderKey.of(shard), value: ShardLeaderKey.write(leader), revision: shard + 2 },
  ];
};
const memberOf = (i: number): Member =>
  create(MemberSchema, {
    name: `vise-${i}`,
    role: "vise",
    zone: `zone-${i % 10}`,
    region: `region-${i % 3}`,
    address: `10.${i >> 8}.${i & 255}.1:7000`,
    http: `10.${i >> 8}.${i & 255}.1:7001`,
    incarnation: 1_700_000_000_000 + i,
    version: 1,
    state: "up",
    disk: disk(i),
  });
const configurationOf = (spaces: number): string =>
  JSON.stringify({
    mark: 5700,
    spaces: Array.from({ length: spaces }, (_, i) => ({
      name: `space-${i}`,
      prefix: `space-${i}/`,
      program: [{ when: {}, contract: { keep: 120, order: "topic", fault_budget: { machines: 1 } } }],
    })),
  });

async function gossipBytes(edges: number, stabilizeMs: number): Promise<number> {
  const { nodes, kinds } = await Cost.idle(edges, 10, 4, stabilizeMs);
  return (kinds["gossip"] ?? 0) / nodes;
}
async function idleBytes(edges: number, wanted: readonly string[]): Promise<number> {
  const { kinds } = await Cost.idle(edges);
  return wanted.reduce((sum, kind) => sum + (kinds[kind] ?? 0), 0);
}

export const NodeSlopes = {
  shardRouteBytes(count: number): number {
    const journal = new ChangeJournal<Change>(1);
    const view = new ShardsView(journal);
    return Meter.heldBy(() => {
      for (let shard = 0; shard < count; shard += 1) for (const change of shardKeys(shard)) journal.append(change);
      return view;
    });
  },

  /** What a first feed's snapshot says of the shards. */
  shardSnapshotBytes(count: number): number {
    let bytes = 0;
    for (let shard = 0; shard < count; shard += 1)
      for (const { key, value, revision } of shardKeys(shard))
        bytes += toBinary(KvSchema, create(KvSchema, { key, value: value!, revision })).length + 2;
    return bytes;
  },

  memberBytes(count: number): number {
    const table = new MemberTable();
    return Meter.heldBy(() => {
      for (let i = 0; i < count; i += 1) table.put(memberOf(i), 0);
      return table.all();
    });
  },

  memberTableBytes: (count: number): number =>
    Array.from({ length: count }, (_, i) => toBinary(MemberSchema, memberOf(i)).length + 2).reduce((a, b) => a + b, 0),

  /** Names a node's watchers anew, as after each change of the members. */
  async watchersProcessor(count: number): Promise<number> {
    const nodes = Array.from({ length: count }, (_, i) => ({ name: `vise-${i}`, zone: `zone-${i % 10}` }));
    const rounds = 20;
    Rendezvous.choose("warm", nodes, 3);
    const used = await Meter.processor(() => {
      for (let i = 0; i < rounds; i += 1) Rendezvous.choose(`vise-${i}`, nodes, 3);
    });
    return used / rounds;
  },

  configurationBytes: (spaces: number): number => configurationOf(spaces).length,
  configurationHeapBytes: (spaces: number): number => {
    const text = configurationOf(spaces);
    return Meter.heldBy(() => ConfigurationReader.parse(text));
  },
  async configurationProcessor(spaces: number): Promise<number> {
    const text = configurationOf(spaces);
    for (let i = 0; i < 20; i += 1) ConfigurationReader.parse(text);
    const rounds = 20;
    const used = await Meter.processor(() => {
      for (let i = 0; i < rounds; i += 1) ConfigurationReader.parse(text);
    });
    return used / rounds;
  },

  /** Both ends of so many small calls over loopback, fifty at a time. */
  async callProcessor(calls: number): Promise<number> {
    const { processorMicroseconds } = await Cost.calls(calls, 50);
    return processorMicroseconds * calls;
  },

  gossipBytes: (edges: number): Promise<number> => gossipBytes(edges, 40_000),
  youngGossipBytes: (edges: number): Promise<number> => gossipBytes(edges, 10_000),

  /** What an idle fleet's feeds cost, and its leases with what control nodes pass on to one another. */
  feedIdleBytes: (edges: number): Promise<number> => idleBytes(edges, ["feedPush", "feedAck"]),
  leaseIdleBytes: (edges: number): Promise<number> =>
    idleBytes(edges, ["storeCall", "storeReply", "storeBatch", "storeBatchReply"]),

  /** All frames of an idle fleet of twelve, by how many shards it has. */
  async shardIdleBytes(shards: number): Promise<number> {
    const { nodes, bytesPerNodeSecond } = await Cost.idle(6, 10, shards);
    return nodes * bytesPerNodeSecond;
  },
};
