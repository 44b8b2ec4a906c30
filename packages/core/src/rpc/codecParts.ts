import type { DescMessage, MessageInitShape } from "@bufbuild/protobuf";
import protobuf from "protobufjs/minimal.js";

export type Writer = protobuf.Writer;
export type Reader = protobuf.Reader;

/** Encodes and decodes one message type. `decode` reads up to the position `end` in the reader's bytes. */
interface Codec {
  // Each codec takes only its own message type: the caller looks the codec up by the message's schema.
  encode(message: MessageInitShape<DescMessage>, writer: Writer): Writer;
  decode(reader: Reader, end: number): { $typeName: string };
}

/** Codecs by the full name of their message type. */
export type Codecs = Readonly<Record<string, Codec>>;

/** The value of a bytes field that is missing from a message. */
export const emptyBytes = new Uint8Array(0);

/** Reads a length prefix and returns the end of its message; throws a RangeError if that is past the reader's end. */
export function endOf(reader: Reader): number {
  const length = reader.uint32();
  const end = reader.pos + length;
  if (end > reader.len) throw new RangeError(`a message of ${length} bytes extends past the end of its frame`);
  return end;
}
