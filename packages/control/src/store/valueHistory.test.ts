import { test } from "node:test";
import { create } from "@bufbuild/protobuf";
import { KvSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { packing, PackedValue } from "@cranetrack/core/store/packedValue.js";
import { expect } from "earl";
import { ValueHistory } from "./valueHistory.js";

const lines = (changed: number, count = 200): Buffer =>
  Buffer.from(Array.from({ length: count }, (_, i) => `line ${i} of the value${i === 9 ? ` ${changed}` : ""}`).join());
const kvOf = (
  revision: number,
  value: Uint8Array = lines(revision),
  more: { isGone?: boolean; lease?: string } = {},
): Kv => create(KvSchema, { key: "plan", value, revision, ...more });

/** How the newest version is sent to someone, and whether it unpacks with the version that they have. */
function sent(packed: Kv, has: Kv | undefined, newest: Kv): [packing: number, base: number, isSame: boolean] {
  const value = PackedValue.unpack(packed, has);
  return [packed.packing, packed.baseRevision, value !== undefined && Buffer.compare(value, newest.value) === 0];
}

test("the newest version is sent as a difference from the version that the receiver has, else whole", () => {
  const history = new ValueHistory();
  const [first, second, third] = [kvOf(10), kvOf(20), kvOf(30)] as const;
  history.reset([first]);
  history.keep([second]);
  history.keep([third]);
  expect(sent(history.packSince(third, 29), second, third)).toEqual([packing.difference, 20, true]);
  expect(sent(history.packSince(third, 19), first, third)).toEqual([packing.difference, 10, true]);
  expect(sent(history.packSince(third, 9), undefined, third)).toEqual([packing.deflated, 0, true]);
  expect(sent(history.packFrom(third, 20), second, third)).toEqual([packing.difference, 20, true]);
  expect(sent(history.packFrom(third, 15), undefined, third)).toEqual([packing.deflated, 0, true]);
  expect(sent(history.packFrom(third, 30), third, third)).toEqual([packing.omitted, 30, true]);
  history.reset([third]);
  expect(sent(history.packSince(third, 25), undefined, third)).toEqual([packing.deflated, 0, true]);
});

test("versions before a removal, or before a value that is small or under a lease, are no bases", () => {
  for (const between of [
    kvOf(20, new Uint8Array(), { isGone: true }),
    kvOf(20, Buffer.from("small")),
    kvOf(20, lines(20), { lease: "one" }),
  ]) {
    const history = new ValueHistory();
    history.keep([kvOf(10)]);
    history.keep([between]);
    const newest = kvOf(30);
    history.keep([newest]);
    expect(sent(history.packSince(newest, 25), between, newest)).toEqual([packing.deflated, 0, true]);
    expect(history.packSince(between, 15)).toEqual(between);
  }
});

test("a history is bounded in versions and bytes; the eldest are deflated, then dropped, and still are bases", () => {
  const few = new ValueHistory();
  for (let revision = 1; revision <= 200; revision += 1) few.keep([kvOf(revision)]);
  const newest = kvOf(200);
  const oldest = 200 - ValueHistory.maxVersions + 1;
  expect(few.packSince(newest, oldest).baseRevision).toEqual(oldest);
  expect(few.packSince(newest, oldest - 1).packing).toEqual(packing.deflated);

  const large = new ValueHistory();
  const valueOf = (revision: number): Buffer => lines(revision, 30_000);
  for (let revision = 1; revision <= 12; revision += 1) large.keep([kvOf(revision, valueOf(revision))]);
  const last = kvOf(12, valueOf(12));
  const first = kvOf(1, valueOf(1));
  expect(first.value.length * 12 > ValueHistory.maxBytes * 3).toEqual(true);
  expect(sent(large.packSince(last, 1), first, last)).toEqual([packing.difference, 1, true]);
});
