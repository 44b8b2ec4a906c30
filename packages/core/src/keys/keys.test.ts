import { test } from "node:test";
import { expect } from "earl";
import { ShardLeaderKey } from "./shardLeaderKey.js";
import { ReplicasKey } from "./replicasKey.js";

const bytes = (value: unknown): Uint8Array => Buffer.from(typeof value === "string" ? value : JSON.stringify(value));

test("values of leader and replica set keys are read back as written, and invalid ones are rejected", () => {
  const leader = { name: "anvil-1", id: "d1", lease: "l1" };
  expect(ShardLeaderKey.read(ShardLeaderKey.write(leader))).toEqual(leader);
  expect(ShardLeaderKey.read(bytes({ ...leader, newer: 1 }))).toEqual(leader);
  for (const broken of ["", "{", "null", [], "7", {}, { ...leader, id: 7 }, { name: "a", id: "b" }])
    expect(ShardLeaderKey.read(bytes(broken))).toEqual(undefined);
  const set = { members: [{ id: "d1", name: "anvil-1", zone: "z" }] };
  expect(ReplicasKey.read(ReplicasKey.write(set))).toEqual(set);
  expect(ReplicasKey.read(bytes({ members: [] }))).toEqual({ members: [] });
  for (const broken of ["", "{", "null", [], {}, { members: {} }, { members: [null] }, { members: [{ id: "a" }] }])
    expect(ReplicasKey.read(bytes(broken))).toEqual(undefined);
});
