import { test } from "node:test";
import { expect } from "earl";
import { Wire } from "./wire.js";

const frame = Wire.encode({ id: 7, from: "vise-1", to: "anvil-1", body: { case: "ping", value: { about: "x" } } });

test("a frame comes back as it was sent", () => {
  const read = Wire.decode(frame);
  expect(read?.from).toEqual("vise-1");
  expect(read?.body.case).toEqual("ping");
});

test("no single altered bit, no cut and no addition passes for a frame", () => {
  for (let bit = 0; bit < frame.length * 8; bit += 1) {
    const altered = Uint8Array.from(frame);
    altered[bit >> 3]! ^= 1 << (bit & 7);
    expect(Wire.decode(altered)).toEqual(undefined);
  }
  for (let length = 0; length < frame.length; length += 1)
    expect(Wire.decode(frame.subarray(0, length))).toEqual(undefined);
  expect(Wire.decode(Buffer.concat([frame, frame]))).toEqual(undefined);
});
