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

/** A value of one field; undefined is left out. */
function valueOf(field: DescField): fc.Arbitrary<unknown> {
  if (field.fieldKind === "message") return messageOf(field.message);
  if (field.fieldKind === "list")
    return fc.array(field.listKind === "message" ? messageOf(field.message) : scalars[field.scalar!]!, {
      maxLength: 3,
    });
  return scalars[field.scalar!]!;
}

function oneofOf(oneof: DescOneof): fc.Arbitrary<unknown> {
  const cases = oneof.fields.map((field) =>
    valueOf(field).map((value) => ({ case: field.localName, value }) as { case: string | undefined; value: unknown }),
  );
  return fc.oneof(fc.constant({ case: undefined }), ...cases);
}

/** A message with any of its fields. */
function messageOf(schema: DescMessage): fc.Arbitrary<Message> {
  const members = schema.members.map((member) => {
    const value = member.kind === "oneof" ? oneofOf(member) : valueOf(member);
    return [member.localName, fc.option(value, { nil: undefined })] as const;
  });
  return fc.record(Object.fromEntries(members)).map((init) => create(schema, init));
}

/** Guards against bytes that another release, or a log on a disk, would read otherwise. */
for (const schema of file_cranetrack.messages)
  test(`codecs and protobuf-es agree on ${schema.name}`, () => {
    fc.assert(
      fc.property(messageOf(schema), (message) => {
        const bytes = toBinary(schema, message);
        expect(Buffer.from(encodeMessage(schema, message)).toString("hex")).toEqual(Buffer.from(bytes).toString("hex"));
        expect(decodeMessage(schema, bytes)).toEqual(fromBinary(schema, bytes));
      }),
      { numRuns: 60, seed: 45 },
    );
  });

test("what is left out of a message to be encoded is as if it had its zero value", () => {
  const bytes = encodeMessage(FrameSchema, { id: 3, body: { case: "storeReply", value: { kvs: [{ key: "k" }] } } });
  const whole = create(FrameSchema, { id: 3, body: { case: "storeReply", value: { kvs: [{ key: "k" }] } } });
  expect(Buffer.from(bytes)).toEqual(Buffer.from(toBinary(FrameSchema, whole)));
});

test("bytes that end too early are an error, and fields of a later release are read past", () => {
  const bytes = encodeMessage(KvSchema, { key: "some key", revision: 4 });
  for (let length = 1; length < bytes.length; length += 1)
    if (length !== 10) expect(() => decodeMessage(KvSchema, bytes.subarray(0, length))).toThrow();
  const later = Uint8Array.from([...bytes, 0xfa, 0x01, 2, 1, 2]);
  expect(decodeMessage(KvSchema, later)).toEqual(create(KvSchema, { key: "some key", revision: 4 }));
});
