import type { DescMessage, MessageInitShape, MessageShape } from "@bufbuild/protobuf";
import protobuf from "protobufjs/minimal.js";
import { codecs } from "../gen/cranetrack_codec.js";

function codecOf(schema: DescMessage): (typeof codecs)[string] {
  const codec = codecs[schema.typeName];
  if (codec === undefined) throw new TypeError(`no codec for ${schema.typeName}`);
  return codec;
}

/**
 * Encodes a protocol message behind `headerBytes` bytes that are reserved for a header. Writes the same bytes as
 * protobuf-es, without unknown fields, and is several times as fast as its `toBinary`.
 */
export function encodeMessage<Schema extends DescMessage>(
  schema: Schema,
  message: MessageInitShape<Schema>,
  headerBytes = 0,
): Uint8Array {
  const writer = protobuf.Writer.create();
  for (let i = 0; i < headerBytes; i += 1) writer.uint32(0);
  return codecOf(schema).encode(message, writer).finish();
}

/**
 * Decodes a protocol message. Fields that this release does not know are left out. Throws a `RangeError` or another
 * error of the reader if the bytes are not a valid message.
 */
export function decodeMessage<Schema extends DescMessage>(schema: Schema, bytes: Uint8Array): MessageShape<Schema> {
  const reader = protobuf.Reader.create(bytes);
  return codecOf(schema).decode(reader, bytes.length) as MessageShape<Schema>;
}
