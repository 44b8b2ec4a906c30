import { describe, it } from "node:test";
import type { DescMessage } from "@bufbuild/protobuf";
import { expect } from "earl";
import {
  decodeFrame,
  decodeStoredMessage,
  decodeWithEnvelopeOf,
  encodeForwardedFrame,
  encodeFrame,
  encodeStoredMessage,
  frameSchema,
  storedSchemas,
  withoutEnvelope,
} from "./adapter.js";
import { fromBase64, readFixtures, toBase64, type WireFixtures } from "./wireFixtures.js";
import { fromNumbers, toNumbers, withoutField, type NumberedMessage, type NumberedValue } from "./wireNumbers.js";

const { frames, stored } = readFixtures("wire") as WireFixtures;

/** The fields of each message type that a golden message sets, as `type number`. */
function fieldsIn(schema: DescMessage, numbered: NumberedMessage): string[] {
  return Object.entries(numbered).flatMap(([number, value]) => {
    const field = schema.fields.find((one) => one.number === Number(number));
    const nested = field?.message;
    const items: NumberedValue[] = nested === undefined ? [] : Array.isArray(value) ? value : [value];
    return [`${schema.typeName} ${number}`, ...items.flatMap((item) => fieldsIn(nested!, item as NumberedMessage))];
  });
}

/** All fields of a message type and of those below it. */
function allFields(schema: DescMessage): string[] {
  return schema.fields.flatMap((field) => [
    `${schema.typeName} ${field.number}`,
    ...(field.message === undefined ? [] : allFields(field.message)),
  ]);
}

const sorted = (texts: string[]): string[] => [...new Set(texts)].sort();

/** Claims of owners, which have a golden of their own (`claimWire.test.ts`). */
const claimFields = [
  ...["OwnerClaim 1", "OwnerClaim 2", "OwnerClaim 3"],
  ...["ClaimOwners 1", "ClaimOwners 2", "ClaimOwners 3"],
].map((field) => `cranetrack.v1.${field}`);

/** Of frames, by name and number: claims, what a sender says of its configuration, and of the room on its disk. */
const laterFrameFields = [
  ...["cranetrack.v1.AppendReply 10", "cranetrack.v1.AppendReply 11"],
  ...["cranetrack.v1.Publish 9", "cranetrack.v1.Publish 10", "cranetrack.v1.Publish 11"],
  "cranetrack.v1.NumberState 4",
  ...["cranetrack.v1.StreamAt 8", "cranetrack.v1.StreamAt 9"],
  ...["cranetrack.v1.TopicCursor 5", "cranetrack.v1.TopicCursor 6"],
  ...["cranetrack.v1.StoreCall 8", ...claimFields],
];

void describe("frames of revision ca00b7a", () => {
  for (const { expected, bytes, withoutHops, withoutEnvelope: short } of frames) {
    const kind = Object.keys(expected).find((number) => Number(number) >= 10);
    const direct = withoutField(expected, 6);

    it(`decodes and encodes kind ${kind}`, () => {
      const frame = decodeFrame(fromBase64(bytes));
      expect(toNumbers(frameSchema, frame!)).toEqual(expected);
      expect(toBase64(encodeForwardedFrame(frame!))).toEqual(bytes);
      expect(toBase64(encodeFrame(fromNumbers(frameSchema, expected)))).toEqual(bytes);
    });

    it(`decodes and encodes kind ${kind} with and without its envelope`, () => {
      const whole = fromBase64(withoutHops);
      expect(toNumbers(frameSchema, decodeFrame(whole)!)).toEqual(direct);
      expect(toBase64(encodeFrame(fromNumbers(frameSchema, direct)))).toEqual(withoutHops);
      expect(toBase64(withoutEnvelope(whole)!)).toEqual(short);
      expect(toNumbers(frameSchema, decodeWithEnvelopeOf(fromBase64(short), whole)!)).toEqual(direct);
    });
  }

  it("have every field of every message that travels, but for those that came later", () => {
    const covered = frames.flatMap(({ expected }) => fieldsIn(frameSchema, expected));
    expect(covered.filter((field) => laterFrameFields.includes(field))).toEqual([]);
    expect(sorted([...covered, ...laterFrameFields])).toEqual(sorted(allFields(frameSchema)));
  });
});

/** Of stored messages, by name and number: revision ca00b7a reads past them, and does not write them. */
const laterFields = [
  "cranetrack.v1.Trim 4",
  "cranetrack.v1.DedupRecord 7",
  "cranetrack.v1.Accept 11",
  "cranetrack.v1.StreamSnapshot 8",
  ...["cranetrack.v1.StoreCommand 4", ...claimFields],
];

void describe("stored messages of revision ca00b7a", () => {
  for (const { name, expected, bytes } of stored)
    it(`decodes and encodes a ${name}`, () => {
      const schema = storedSchemas[name]!;
      const message = decodeStoredMessage(schema, fromBase64(bytes));
      expect(toNumbers(schema, message)).toEqual(expected);
      expect(toBase64(encodeStoredMessage(schema, message))).toEqual(bytes);
      expect(toBase64(encodeStoredMessage(schema, fromNumbers(schema, expected)))).toEqual(bytes);
    });

  it("have every field of every message that rests, but for those that came later", () => {
    const covered = stored.flatMap(({ name, expected }) => fieldsIn(storedSchemas[name]!, expected));
    expect(covered.filter((field) => laterFields.includes(field))).toEqual([]);
    expect(sorted([...covered, ...laterFields])).toEqual(sorted(Object.values(storedSchemas).flatMap(allFields)));
  });
});
