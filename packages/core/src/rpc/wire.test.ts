import { test } from "node:test";
import { create, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { expect } from "earl";
import { FrameSchema } from "../gen/cranetrack_pb.js";
import { Checksum } from "./checksum.js";
import { Wire } from "./wire.js";

const frame = Wire.encode({ id: 7, from: "vise-1", to: "anvil-1", body: { case: "ping", value: { about: "x" } } });

test("a frame decodes to what was encoded", () => {
  const read = Wire.decode(frame);
  expect(read?.from).toEqual("vise-1");
  expect(read?.body.case).toEqual("ping");
});

test("a frame with a flipped bit, missing bytes or additional bytes is rejected", () => {
  for (let bit = 0; bit < frame.length * 8; bit += 1) {
    const altered = Uint8Array.from(frame);
    altered[bit >> 3]! ^= 1 << (bit & 7);
    expect(Wire.decode(altered)).toEqual(undefined);
  }
  for (let length = 0; length < frame.length; length += 1)
    expect(Wire.decode(frame.subarray(0, length))).toEqual(undefined);
  expect(Wire.decode(Buffer.concat([frame, frame]))).toEqual(undefined);
});

test("a frame is encoded as protobuf does, and its envelope is found in the bytes", () => {
  const body = { case: "ping", value: { about: "x" } } as const;
  const frames: MessageInitShape<typeof FrameSchema>[] = [
    { from: "a", body },
    { id: 7, from: "a", to: "b", fromAddress: "10.0.0.1:1", body },
    { id: 1.5, isReply: true, from: "ä".repeat(100), hops: 1, body: { case: "done", value: {} } },
    { id: 7, from: "a", to: "b", fromAddress: "10.0.0.1:1", callerIncarnation: 2 ** 52, calleeIncarnation: 3, body },
    {
      id: 7,
      isReply: true,
      from: "a",
      to: "b",
      hops: 1,
      callerIncarnation: 2 ** 52,
      calleeIncarnation: 2 ** 51 + 1,
      body,
    },
    { from: "a", to: "b", body: { case: "gossip", value: { members: [{ name: "c", version: 2 }], isAsking: true } } },
  ];
  for (const message of frames)
    expect(Buffer.from(Wire.encode(message))).toEqual(
      Buffer.from(Checksum.prepend(toBinary(FrameSchema, create(FrameSchema, message)))),
    );
  for (const message of [frames[1]!, frames[3]!]) {
    const bytes = Wire.encode(message);
    const range = Wire.envelopeRange(bytes)!;
    expect(Wire.decode(Wire.stripEnvelope(bytes, range))).toEqual(undefined);
    expect(Wire.decode(Wire.stripEnvelope(bytes, range), Wire.decode(bytes))).toEqual(Wire.decode(bytes));
  }
  for (const forwarded of [frames[2]!, frames[4]!])
    expect(Wire.envelopeRange(Wire.encode(forwarded))).toEqual(undefined);
});
