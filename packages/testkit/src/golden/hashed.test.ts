import { describe, it } from "node:test";
import { expect } from "earl";
import {
  digestKinds,
  digestText,
  logEntryKinds,
  logNames,
  ranking,
  rankingKeys,
  seededDraws,
  streamNames,
} from "./adapter.js";

// The ranks, weights, shards and digests were computed from their definitions by another program.
const names = ["node-1", "node-2", "node-3", "node-4", "node-5"];
const nodes = names.map((name, index) => ({ name, zone: "aabbc"[index]! }));

void describe("the keys that nodes are ranked under", () => {
  const duties: ReadonlyArray<readonly [key: string, expected: string, ranked: string[], weight: number]> = [
    [rankingKeys.shardLeader(7), "holder 7", ["node-2", "node-3", "node-1", "node-5", "node-4"], 146787541620578],
    [rankingKeys.replicaSetCreation(7), "found 7", ["node-3", "node-1", "node-4", "node-5", "node-2"], 230772970406172],
    [rankingKeys.replicaSet(7), "replicas 7", ["node-4", "node-1", "node-3", "node-5", "node-2"], 265678550861278],
    [
      rankingKeys.nearbyReplica("edge-1"),
      "near edge-1",
      ["node-3", "node-2", "node-4", "node-5", "node-1"],
      1229853345261,
    ],
    [
      rankingKeys.gossipPartners("node-9"),
      "partners of node-9",
      ["node-2", "node-3", "node-1", "node-4", "node-5"],
      188131515268961,
    ],
    [rankingKeys.storeVoter, "voter", ["node-4", "node-5", "node-3", "node-2", "node-1"], 105950639275190],
    [rankingKeys.electionAfter(12), "12", ["node-3", "node-1", "node-2", "node-4", "node-5"], 253375129714866],
  ];
  for (const [key, expected, ranked, weight] of duties)
    it(`has "${expected}", and ranks nodes by it`, () => {
      expect(key).toEqual(expected);
      expect(ranking.rank(key, names)).toEqual(ranked);
      expect(ranking.rank(key, [...names].reverse())).toEqual(ranked);
      expect(ranking.weight(key, "node-1")).toEqual(weight);
    });

  it("rank a node's own zone first, and spread over zones", () => {
    expect(ranking.nearest("edge-1", "b", nodes)).toEqual(["node-3", "node-4", "node-5", "node-2", "node-1"]);
    expect(ranking.acrossZones("node-9", nodes, 3)).toEqual(["node-4", "node-5", "node-1"]);
    expect(ranking.acrossZones("node-9", nodes, 4)).toEqual(["node-4", "node-5", "node-1", "node-3"]);
  });
});

void describe("shards of streams", () => {
  const shards: ReadonlyArray<readonly [stream: string, of64: number, of7: number]> = [
    ["10:eu/orders/all", 58, 3],
    ["5:chat/", 54, 2],
    ["5:chat/room", 24, 0],
    ["0:x", 4, 6],
    ["orders/ä", 38, 5],
  ];
  for (const [stream, of64, of7] of shards)
    it(`has ${stream} in shards ${of64} of 64 and ${of7} of 7`, () => {
      expect([ranking.shardOf(stream, 64), ranking.shardOf(stream, 7)]).toEqual([of64, of7]);
    });
});

void describe("names of streams", () => {
  it("have the prefix's length, and the topic or the prefix", () => {
    expect(streamNames.ofTopic("eu/orders/", "eu/orders/all")).toEqual("10:eu/orders/all");
    expect(streamNames.ofSender("eu/orders/", "eu/orders/all")).toEqual("10:eu/orders/all");
    expect(streamNames.ofSpace("chat/", "chat/room")).toEqual("5:chat/");
    expect(streamNames.prefixOf("10:eu/orders/all")).toEqual("eu/orders/");
  });

  it("have incarnations of the space's, hexadecimal, and ten characters of an identity", () => {
    expect(streamNames.incarnation(41, "0123456789abcdef")).toEqual("29-0123456789");
    expect(streamNames.spaceIncarnationOf("29-0123456789")).toEqual(41);
  });
});

void describe("digests of contents", () => {
  const text = ' {"mark": 41.0, "b": 1e0,\n "a": ["\\u0078", null, true]}';

  it("begin with these kinds", () => {
    expect(digestKinds).toEqual({ configuration: "plan", document: "document" });
  });

  it("are over the canonical form of JSON, and over other bytes as they are", () => {
    expect(digestText("configuration", text)).toEqual(
      "7f7bd5558ab36b6bcb5333b257f5e960a3db422cb638c7277539ba71324c3969",
    );
    expect(digestText("document", text)).toEqual("dc7d33d027dc03c6edde07f503cad5df11d7cad6a7a425c661c141f4859e2833");
    expect(digestText("document", "no JSON")).toEqual(
      "08cdcf1bb306d2622d973f2a02f20a4cce4d3f1732c8d6a6dadb90fee90e36f7",
    );
  });
});

void describe("what a seed gives", () => {
  it("is the same draws and identities", () => {
    expect(seededDraws(7)).toEqual({
      draws: [0.2940613958053291, 0.03904336970299482, 0.5408913951832801],
      identity: "6f43fd57855d013c88f1",
      forkedIdentity: "3f35c3c339fbe73dc562",
    });
  });
});

void describe("names of replicated logs", () => {
  it("are the store's, and a shard's number in three digits", () => {
    expect([logNames.store, logNames.shard(7), logNames.shard(1234)]).toEqual(["store", "shard007", "shard1234"]);
  });
});

void describe("kinds of entries in the store's log", () => {
  it("have these numbers", () => {
    expect(logEntryKinds).toEqual({ command: 0, empty: 1, members: 2 });
  });
});
