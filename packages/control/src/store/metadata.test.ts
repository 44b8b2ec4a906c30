import { test } from "node:test";
import { create, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { StoreCommandSchema, type TxnSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import { IncarnationsKey } from "@cranetrack/core/keys/incarnationsKey.js";
import { PackedValue, packing } from "@cranetrack/core/store/packedValue.js";
import { expect } from "earl";
import { Metadata, type ApplyResult } from "./metadata.js";

const configuration = (version: number, keep: number): Buffer =>
  Buffer.from(
    JSON.stringify({
      mark: version,
      spaces: Array.from({ length: 60 }, (_, i) => ({
        name: `r${i}`,
        program: [{ contract: { keep: i === 7 ? keep : i } }],
      })),
    }),
  );

function apply(state: Metadata, value: MessageInitShape<typeof TxnSchema>): ApplyResult {
  const command = create(StoreCommandSchema, { command: { case: "txn", value } });
  return state.apply(state.revision + 1, toBinary(StoreCommandSchema, command));
}

const text = (state: Metadata, key = "plan"): string => Buffer.from(state.get(key)?.value ?? []).toString();

test("a difference applies only to the version that it was made from; else its transaction changes nothing", () => {
  const state = new Metadata();
  apply(state, { puts: [{ key: "plan", value: configuration(1, 0) }] });
  const difference = {
    key: "plan",
    ...PackedValue.pack(configuration(2, 1), { value: configuration(1, 0), revision: 1 }),
  };
  expect(difference.packing).toEqual(packing.difference);
  expect(apply(state, { puts: [difference] }).outcome).toEqual("done");
  expect([text(state), state.get("plan")!.packing, state.get("plan")!.baseRevision]).toEqual([
    configuration(2, 1).toString(),
    0,
    0,
  ]);

  const repeated = apply(state, { puts: [{ key: "other", value: Buffer.from("x") }, difference], deletes: ["plan"] });
  expect([repeated.outcome, repeated.changes.length, state.get("other"), text(state)]).toEqual([
    "rebase",
    0,
    undefined,
    configuration(2, 1).toString(),
  ]);
  const withoutBase = apply(state, { puts: [{ ...difference, key: "nowhere" }] });
  expect([withoutBase.outcome, state.get("nowhere")]).toEqual(["rebase", undefined]);
});

test("packed and complete values give the same state, and a snapshot holds complete values", () => {
  const [packed, whole] = [new Metadata(), new Metadata()];
  for (let version = 1; version <= 5; version += 1) {
    const before = packed.get("plan");
    const put = PackedValue.pack(configuration(version, version), before);
    apply(packed, { puts: [{ key: "plan", ...put }] });
    apply(whole, { puts: [{ key: "plan", value: configuration(version, version) }] });
  }
  expect(Buffer.compare(packed.snapshot(undefined), whole.snapshot(undefined))).toEqual(0);
  const restored = new Metadata();
  restored.install(packed.snapshot(undefined));
  expect(text(restored)).toEqual(configuration(5, 5).toString());
});

// Guards against messages out of order (ORDER, review/4): a session whose owner key had ended with its lease was
// treated as one that never had an owner.
test("revoking a lease records ended owners in the same entry, but only if owner keys were under the lease", () => {
  const state = new Metadata();
  const run = (command: MessageInitShape<typeof StoreCommandSchema>["command"]): ApplyResult =>
    state.apply(state.revision + 1, toBinary(StoreCommandSchema, create(StoreCommandSchema, { command })));
  const ended = (): number => state.get("owners-ended")?.revision ?? 0;
  for (const lease of ["edge/1", "disk/1"]) run({ case: "grant", value: { lease, length: 10_000 } });
  apply(state, { puts: [{ key: "sessions/desk/owner", value: Buffer.from("{}"), lease: "edge/1" }] });
  apply(state, { puts: [{ key: "shards/1/holder", value: Buffer.from("{}"), lease: "disk/1" }] });
  run({ case: "revoke", value: { lease: "disk/1" } });
  expect(ended()).toEqual(0);
  const { revision, changes } = run({ case: "revoke", value: { lease: "edge/1" } });
  expect([ended(), state.get("sessions/desk/owner")]).toEqual([revision, undefined]);
  expect(changes.map(({ key, isGone }) => [key, isGone])).toEqual([
    ["sessions/desk/owner", true],
    ["owners-ended", false],
  ]);
  run({ case: "revoke", value: { lease: "edge/1" } });
  expect(ended()).toEqual(revision);
});

// Guards against lost messages after an upgrade (LOST, issue 42): entries proposed by an earlier release were replayed
// as if this release had proposed them, and the streams that they name were not found again.
test("an entry yields the incarnations of the release that proposed it, also after a snapshot", () => {
  const put = (
    version: number,
    prefixes: readonly string[],
    isRequested: boolean,
  ): MessageInitShape<typeof TxnSchema> => {
    const spaces = prefixes.map((prefix) => ({
      name: prefix,
      prefix,
      program: [{ owe: { keep: 60, order: "topic" } }],
    }));
    const value = Buffer.from(JSON.stringify({ mark: version, spaces }));
    const requested = { key: IncarnationsKey.name, value: IncarnationsKey.placeholder };
    return { puts: [{ key: "plan", value }, ...(isRequested ? [requested] : [])] };
  };
  const replayed = new Metadata();
  apply(replayed, put(1, ["a/", "c/"], false));
  apply(replayed, put(2, ["a/", "a/b/", "c/"], false));
  expect(text(replayed, IncarnationsKey.name)).toEqual(
    '{"mark":2,"spaces":{"a/":1,"a/b/":1,"c/":1},"ended":{},"roots":{"a/b/":"a/"}}',
  );
  const restarted = new Metadata();
  restarted.install(replayed.snapshot(undefined));
  const roots = '"roots":{"a/":"a/","a/b/":"a/","c/":"c/"}}';
  for (const state of [replayed, restarted]) {
    apply(state, put(3, ["a/b/"], true));
    expect(text(state, IncarnationsKey.name)).toEqual(`{"mark":3,"spaces":{},"nested":[],${roots}`);
    apply(state, put(4, ["a/", "d/"], true));
    expect(text(state, IncarnationsKey.name)).toEqual(`{"mark":4,"spaces":{},"nested":[],${roots}`);
  }
  const newSystem = new Metadata();
  apply(newSystem, put(1, ["a/"], true));
  expect(text(newSystem, IncarnationsKey.name)).toEqual('{"mark":1,"spaces":{},"nested":[]}');
});

// Guards against deciding the claims of one entry together: a claim that came too late blocked all others.
test("owner claims in one entry are granted independently, and none without the lease", () => {
  const state = new Metadata();
  const run = (command: MessageInitShape<typeof StoreCommandSchema>["command"]): ApplyResult =>
    state.apply(state.revision + 1, toBinary(StoreCommandSchema, create(StoreCommandSchema, { command })));
  const claim = (node: string, ...claims: Array<{ session: string; revision?: number }>): ApplyResult =>
    run({ case: "claimOwners", value: { node, lease: `${node}/1`, claims } });
  const ownerOf = (session: string): string => {
    const kv = state.get(OwnerKey.of(session));
    return kv === undefined ? "nobody" : `${OwnerKey.read(kv.value)!.node} since ${kv.revision}`;
  };
  expect(claim("vise-1", { session: "desk" }).outcome).toEqual("lost");
  expect(ownerOf("desk")).toEqual("nobody");
  run({ case: "grant", value: { lease: "vise-1/1", length: 4000 } });
  run({ case: "grant", value: { lease: "vise-2/1", length: 4000 } });
  expect(claim("vise-1", { session: "desk" }, { session: "pen" }).changes.length).toEqual(2);
  const late = claim("vise-2", { session: "desk" }, { session: "pen", revision: 4 }, { session: "ink" });
  expect([late.outcome, late.changes.map(({ key }) => key)]).toEqual(["done", ["pen", "ink"].map(OwnerKey.of)]);
  expect(["desk", "pen", "ink"].map(ownerOf)).toEqual(["vise-1 since 4", "vise-2 since 5", "vise-2 since 5"]);
  run({ case: "revoke", value: { lease: "vise-2/1" } });
  expect(["desk", "pen", "ink"].map(ownerOf)).toEqual(["vise-1 since 4", "nobody", "nobody"]);
});
