import { create, fromBinary, toBinary, type DescMessage, type MessageInitShape } from "@bufbuild/protobuf";
import { BinaryWriter, WireType } from "@bufbuild/protobuf/wire";
import { FrameSchema, type Frame } from "../gen/cranetrack_pb.js";
import { Checksum } from "./seal.js";

export type Body = Frame["body"];
export type BodyInit = NonNullable<MessageInitShape<typeof FrameSchema>["body"]>;
/** Who says it to whom: the same for nearly all frames on a connection. */
export type Envelope = Pick<Frame, "from" | "to" | "fromAddress">;

/** Tags of a frame's first fields, in the order of their bytes. */
const tags = { id: 0x09, isReply: 0x10, envelope: [0x1a, 0x22, 0x2a], hops: 0x30 } as const;

/** The number and the message of each kind of body. */
const bodies = new Map<string, { number: number; message: DescMessage }>(
  FrameSchema.oneofs[0]!.fields.flatMap((field) =>
    field.fieldKind === "message" ? [[field.localName, { number: field.number, message: field.message }]] : [],
  ),
);

/** The frames that processes send one another. */
export const Wire = {
  /** A frame longer than this is foreign, and its connection is closed. */
  most: 64 * 1024 * 1024,

  /** As protobuf has it, written here: its own writer looks at every kind of body there is. */
  encode(frame: MessageInitShape<typeof FrameSchema>): Uint8Array {
    const { id = 0, isReply = false, from = "", to = "", fromAddress = "", hops = 0, body } = frame;
    const { callerIncarnation = 0, calleeIncarnation = 0 } = frame;
    const writer = new BinaryWriter();
    if (id !== 0) writer.tag(1, WireType.Bit64).double(id);
    if (isReply) writer.tag(2, WireType.Varint).bool(true);
    [from, to, fromAddress].forEach((text, i) => {
      if (text !== "") writer.tag(3 + i, WireType.LengthDelimited).bytes(Buffer.from(text));
    });
    if (hops !== 0) writer.tag(6, WireType.Varint).uint32(hops);
    if (callerIncarnation !== 0) writer.tag(7, WireType.Bit64).double(callerIncarnation);
    if (calleeIncarnation !== 0) writer.tag(8, WireType.Bit64).double(calleeIncarnation);
    const kind = body?.case === undefined ? undefined : bodies.get(body.case);
    if (kind !== undefined)
      writer
        .tag(kind.number, WireType.LengthDelimited)
        .bytes(toBinary(kind.message, create(kind.message, body!.value as MessageInitShape<DescMessage>)));
    return Checksum.prepend(writer.finish());
  },

  /** The bytes of a frame that was decoded before. */
  encodeFrame(frame: Frame): Uint8Array {
    return Checksum.prepend(toBinary(FrameSchema, frame));
  },

  /** With the envelope of an earlier frame where the bytes have none of their own. */
  decode(bytes: Uint8Array, envelope?: Envelope): Frame | undefined {
    const opened = Checksum.verify(bytes);
    if (opened === undefined) return undefined;
    try {
      const frame = fromBinary(FrameSchema, opened);
      if (envelope !== undefined) ({ from: frame.from, to: frame.to, fromAddress: frame.fromAddress } = envelope);
      return frame.from === "" || frame.body.case === undefined ? undefined : frame;
    } catch {
      return undefined;
    }
  },

  /** Where the envelope lies in the bytes of a frame; undefined for one that another node carries. */
  envelopeIn(bytes: Uint8Array): [start: number, end: number] | undefined {
    let at = 4;
    if (bytes[at] === tags.id) at += 9;
    if (bytes[at] === tags.isReply) at += 2;
    const start = at;
    for (const tag of tags.envelope) {
      if (bytes[at] !== tag) continue;
      const length = bytes[at + 1]!;
      if (length > 127) return undefined;
      at += 2 + length;
    }
    return at === start || at >= bytes.length || bytes[at] === tags.hops ? undefined : [start, at];
  },

  /** A frame's bytes without the envelope. */
  shorten(bytes: Uint8Array, [start, end]: [number, number]): Uint8Array {
    return Checksum.prepend(bytes.subarray(4, start), bytes.subarray(end));
  },
};
