import { test } from "node:test";
import { expect } from "earl";
import { packing, PackedValue, type Packed } from "./packedValue.js";

const routes = (count: number, changed: number, version = 1): Buffer =>
  Buffer.from(
    JSON.stringify({
      mark: version,
      spaces: Array.from({ length: count }, (_, i) => ({
        name: `r${i}`,
        prefix: `t${i}.`,
        keep: i === changed ? 9 : 1,
      })),
    }),
  );
const same = (bytes: Uint8Array | undefined, other: Uint8Array): boolean =>
  bytes !== undefined && Buffer.compare(bytes, other) === 0;

test("what is packed unpacks to the same bytes: small, large, from an earlier version, from another text", () => {
  const base = { value: routes(300, 4), revision: 7 };
  const values = [Buffer.alloc(0), Buffer.from("small"), routes(300, 5, 2), routes(310, 5), routes(20, 1)];
  values.push(Buffer.from(Array.from({ length: 3000 }, (_, i) => (i * i * 31 + (i >> 3)) % 256)));
  for (const value of values)
    for (const from of [undefined, base]) {
      const packed = PackedValue.pack(value, from);
      expect(packed.value.length <= value.length).toEqual(true);
      expect(same(PackedValue.unpack(packed, from), value)).toEqual(true);
    }
  const packed = PackedValue.pack(routes(300, 5, 2), base);
  expect([packed.packing, packed.baseRevision, packed.value.length < 200]).toEqual([packing.difference, 7, true]);
  expect(PackedValue.pack(routes(300, 5)).packing).toEqual(packing.deflated);
});

test("a delta applies only to the version of its base; an omitted value is that version's", () => {
  const base = { value: routes(300, 4), revision: 7 };
  const difference = PackedValue.pack(routes(300, 5), base);
  expect(PackedValue.unpack(difference, undefined)).toEqual(undefined);
  expect(PackedValue.unpack(difference, { ...base, revision: 8 })).toEqual(undefined);
  const omitted: Packed = { value: new Uint8Array(), packing: packing.omitted, baseRevision: 7 };
  expect(same(PackedValue.unpack(omitted, base), base.value)).toEqual(true);
  expect(PackedValue.unpack(omitted, { ...base, revision: 8 })).toEqual(undefined);
  expect(PackedValue.unpack(omitted, undefined)).toEqual(undefined);
});

test("a delta to other content under the same revision, damaged bytes and decompression bombs are refused", () => {
  const base = { value: routes(300, 4), revision: 7 };
  const difference = PackedValue.pack(routes(300, 5), base);
  expect(PackedValue.unpack(difference, { value: routes(300, 200), revision: 7 })).toEqual(undefined);
  for (let at = 0; at < difference.value.length; at += 1) {
    const value = Uint8Array.from(difference.value);
    value[at] = value[at]! ^ 0x11;
    const unpacked = PackedValue.unpack({ ...difference, value }, base);
    expect(unpacked === undefined || same(unpacked, routes(300, 5))).toEqual(true);
  }
  const bomb = PackedValue.pack(Buffer.alloc(PackedValue.maxBytes + 1, "a"));
  expect([bomb.packing, PackedValue.unpack(bomb, undefined)]).toEqual([packing.deflated, undefined]);
  const large = PackedValue.pack(Buffer.alloc(PackedValue.maxBytes + 1, routes(300, 4)), base);
  expect([large.packing, PackedValue.unpack(large, base)]).toEqual([packing.difference, undefined]);
  expect(PackedValue.unpack({ value: base.value, packing: 9, baseRevision: 7 }, base)).toEqual(undefined);
});
