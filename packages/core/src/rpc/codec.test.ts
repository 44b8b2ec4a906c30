import { test } from "node:test";
import {
  create,
  fromBinary,
  ScalarType,
  toBinary,
  type DescField,
  type DescMessage,
  type DescOneof,
  type Message,
} from "@bufbuild/protobuf";
import { expect } from "earl";
import fc from "fast-check";
import { file_cranetrack, FrameSchema, KvSchema } from "../gen/cranetrack_pb.js";
import { decodeMessage, encodeMessage } from "./codec.js";

const scalars: Partial<Record<ScalarType, fc.Arbitrary<unknown>>> = {
  [ScalarType.DOUBLE]: fc.oneof(
    fc.nat(),
    fc.double({ noNaN: true }).filter((value) => !Object.is(value, -0)),
  ),
  [ScalarType.UINT32]: fc.oneof(fc.nat(300), fc.integer({ min: 0, max: 2 ** 32 - 1 })),
  [ScalarType.BOOL]: fc.boolean(),
  [ScalarType.STRING]: fc.oneof(fc.string(), fc.string({ unit: "grapheme" })),
  [ScalarType.BYTES]: fc.uint8Array({ maxLength: 300 }),
};

/** Generates a value of one field. */
function fieldValue(field: DescField): fc.Arbitrary<unknown> {
  if (field.fieldKind === "message") return anyMessage(field.message);
  if (field.fieldKind === "list")
    return fc.array(field.listKind === "message" ? anyMessage(field.message) : scalars[field.scalar!]!, {
      maxLength: 3,
    });
  return scalars[field.scalar!]!;
}

function oneofValue(oneof: DescOneof): fc.Arbitrary<unknown> {
  const cases = oneof.fields.map((field) =>
    fieldValue(field).map(
      (value) => ({ case: field.localName, value }) as { case: string | undefined; value: unknown },
    ),
  );
  return fc.oneof(fc.constant({ case: undefined }), ...cases);
}

/** Generates a message with any subset of its fields. */
function anyMessage(schema: DescMessage): fc.Arbitrary<Message> {
  const members = schema.members.map((member) => {
    const value = member.kind === "oneof" ? oneofValue(member) : fieldValue(member);
    return [member.localName, fc.option(value, { nil: undefined })] as const;
  });
  return fc.record(Object.fromEntries(members)).map((init) => create(schema, init));
}

/** Guards against an encoding that another release, or a log on disk, would decode differently. */
for (const schema of file_cranetrack.messages)
  test(`codecs and protobuf-es agree on ${schema.name}`, () => {
    fc.assert(
      fc.property(anyMessage(schema), (message) => {
        const bytes = toBinary(schema, message);
        expect(Buffer.from(encodeMessage(schema, message)).toString("hex")).toEqual(Buffer.from(bytes).toString("hex"));
        expect(decodeMessage(schema, bytes)).toEqual(fromBinary(schema, bytes));
      }),
      { numRuns: 60, seed: 45 },
    );
  });

test("a field left out of a message is encoded like its zero value", () => {
  const bytes = encodeMessage(FrameSchema, { id: 3, body: { case: "storeReply", value: { kvs: [{ key: "k" }] } } });
  const whole = create(FrameSchema, { id: 3, body: { case: "storeReply", value: { kvs: [{ key: "k" }] } } });
  expect(Buffer.from(bytes)).toEqual(Buffer.from(toBinary(FrameSchema, whole)));
});

test("truncated bytes are an error, and unknown fields of a later release are skipped", () => {
  const bytes = encodeMessage(KvSchema, { key: "some key", revision: 4 });
  for (let length = 1; length < bytes.length; length += 1)
    if (length !== 10) expect(() => decodeMessage(KvSchema, bytes.subarray(0, length))).toThrow();
  const later = Uint8Array.from([...bytes, 0xfa, 0x01, 2, 1, 2]);
  expect(decodeMessage(KvSchema, later)).toEqual(create(KvSchema, { key: "some key", revision: 4 }));
});
