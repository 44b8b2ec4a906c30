import { test } from "node:test";
import { applyDelta, createDelta } from "fossil-delta";
import { expect } from "earl";
import { FossilDelta } from "./fossilDelta.js";

const maxBytes = 100_000;

/** Texts with much in common, of every length modulo four, and bytes of all values. */
function* texts(): Iterable<Buffer> {
  let seed = 1;
  const draw = (below: number): number => (seed = (seed * 48_271) % 2_147_483_647) % below;
  const lines = Array.from({ length: 60 }, (_, i) => `{"name":"route-${i}","keep":${i}}`);
  for (let step = 0; step < 60; step += 1) {
    lines.splice(draw(lines.length), draw(3), `{"name":"other-${step}","keep":${draw(99)}}`);
    yield Buffer.from(lines.join(","));
    yield Buffer.from(Array.from({ length: draw(400) }, () => draw(256)));
  }
  yield Buffer.alloc(0);
}

test("applying a delta of the library gives the same result as the library", () => {
  let before: Uint8Array = Buffer.from("");
  for (const text of texts()) {
    for (const source of [before, Buffer.from(text.subarray(text.length >> 1))]) {
      const delta = createDelta(source, text);
      const read = FossilDelta.apply(source, delta, maxBytes);
      expect([Buffer.compare(read, text), Buffer.compare(read, applyDelta(source, delta))]).toEqual([0, 0]);
    }
    before = text;
  }
});

test("a delta that is cut off, damaged, too large or of another source is refused", () => {
  const [source, target] = [...texts()].filter((_, i) => i % 2 === 0) as [Buffer, Buffer];
  const delta = createDelta(source, target);
  expect(Buffer.compare(FossilDelta.apply(source, delta, target.length), target)).toEqual(0);
  expect(() => FossilDelta.apply(source, delta, target.length - 1)).toThrow("too large");
  for (let end = 0; end < delta.length; end += 1)
    expect(() => FossilDelta.apply(source, delta.subarray(0, end), maxBytes)).toThrow();
  expect(() => FossilDelta.apply(source.subarray(1), delta, maxBytes)).toThrow();
  expect(() => FossilDelta.apply(Buffer.from(source).reverse(), delta, maxBytes)).toThrow("checksum");
  expect(() => FossilDelta.apply(source, Buffer.from("~~~~~\n"), maxBytes)).toThrow();
  expect(() => FossilDelta.apply(source, Buffer.from("A\nA@0,A@0,A;"), maxBytes)).toThrow();
});
