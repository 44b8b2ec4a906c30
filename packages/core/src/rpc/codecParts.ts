import type { DescMessage, MessageInitShape } from "@bufbuild/protobuf";
import protobuf from "protobufjs/minimal.js";

export type Writer = protobuf.Writer;
export type Reader = protobuf.Reader;

/** Of one message. `decode` reads up to `end`, a position in the reader's bytes. */
interface Codec {
  // Each codec takes its own message: the caller looks it up by the message's schema.
  encode(message: MessageInitShape<DescMessage>, writer: Writer): Writer;
  decode(reader: Reader, end: number): { $typeName: string };
}

/** Codecs by the full names of their messages. */
export type Codecs = Readonly<Record<string, Codec>>;

/** The value of a field of bytes that was not sent. */
export const emptyBytes = new Uint8Array(0);

/** Reads a length, and says where what has it ends; throws a RangeError where that is behind the reader's end. */
export function endOf(reader: Reader): number {
  const length = reader.uint32();
  const end = reader.pos + length;
  if (end > reader.len) throw new RangeError(`a message of ${length} bytes ends behind its frame`);
  return end;
}
