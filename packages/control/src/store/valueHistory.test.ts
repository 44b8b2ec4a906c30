import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { packing, PackedValue } from "@cranetrack/core/store/packedValue.js";
import { expect } from "earl";
import { ValueHistory } from "./valueHistory.js";

const textOfLines = (variant: number, count = 200): Buffer =>
  Buffer.from(Array.from({ length: count }, (_, i) => `line ${i} of the value${i === 9 ? ` ${variant}` : ""}`).join());
const kvOf = (
  revision: number,
  value: Uint8Array = textOfLines(revision),
  options: { isGone?: boolean; lease?: string } = {},
): Kv => create(KvSchema, { key: "plan", value, revision, ...options });

/** How the newest version is packed, and whether a receiver with this version can unpack it. */
function receive(
  packed: Kv,
  receiverVersion: Kv | undefined,
  newest: Kv,
): [packing: number, base: number, isSame: boolean] {
  const value = PackedValue.unpack(packed, receiverVersion);
  return [packed.packing, packed.baseRevision, value !== undefined && Buffer.compare(value, newest.value) === 0];
}

test("the newest version is sent as a difference from the receiver's version if that is kept, else deflated", () => {
  const history = new ValueHistory();
  const [first, second, third] = [kvOf(10), kvOf(20), kvOf(30)] as const;
  history.reset([first]);
  history.record([second]);
  history.record([third]);
  expect(receive(history.packForStoreRevision(third, 29), second, third)).toEqual([packing.difference, 20, true]);
  expect(receive(history.packForStoreRevision(third, 19), first, third)).toEqual([packing.difference, 10, true]);
  expect(receive(history.packForStoreRevision(third, 9), undefined, third)).toEqual([packing.deflated, 0, true]);
  expect(receive(history.packForValueRevision(third, 20), second, third)).toEqual([packing.difference, 20, true]);
  expect(receive(history.packForValueRevision(third, 15), undefined, third)).toEqual([packing.deflated, 0, true]);
  expect(receive(history.packForValueRevision(third, 30), third, third)).toEqual([packing.omitted, 30, true]);
  history.reset([third]);
  expect(receive(history.packForStoreRevision(third, 25), undefined, third)).toEqual([packing.deflated, 0, true]);
});

test("versions before a removal, or before a value that is small or under a lease, do not serve as bases", () => {
  for (const intermediate of [
    kvOf(20, new Uint8Array(), { isGone: true }),
    kvOf(20, Buffer.from("small")),
    kvOf(20, textOfLines(20), { lease: "one" }),
  ]) {
    const history = new ValueHistory();
    history.record([kvOf(10)]);
    history.record([intermediate]);
    const newest = kvOf(30);
    history.record([newest]);
    expect(receive(history.packForStoreRevision(newest, 25), intermediate, newest)).toEqual([
      packing.deflated,
      0,
      true,
    ]);
    expect(history.packForStoreRevision(intermediate, 15)).toEqual(intermediate);
  }
});

test("a history is bounded in versions and bytes; its oldest versions are deflated before any is dropped", () => {
  const manyVersions = new ValueHistory();
  for (let revision = 1; revision <= 200; revision += 1) manyVersions.record([kvOf(revision)]);
  const newest = kvOf(200);
  const oldest = 200 - ValueHistory.maxVersions + 1;
  expect(manyVersions.packForStoreRevision(newest, oldest).baseRevision).toEqual(oldest);
  expect(manyVersions.packForStoreRevision(newest, oldest - 1).packing).toEqual(packing.deflated);

  const largeVersions = new ValueHistory();
  const valueOf = (revision: number): Buffer => textOfLines(revision, 30_000);
  for (let revision = 1; revision <= 12; revision += 1) largeVersions.record([kvOf(revision, valueOf(revision))]);
  const last = kvOf(12, valueOf(12));
  const first = kvOf(1, valueOf(1));
  expect(first.value.length * 12 > ValueHistory.maxBytes * 3).toEqual(true);
  expect(receive(largeVersions.packForStoreRevision(last, 1), first, last)).toEqual([packing.difference, 1, true]);
});
