import { fromBinary, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { FrameSchema, type Frame } from "../gen/cranetrack_pb.js";
import { Checksum } from "./checksum.js";
import { decodeMessage, encodeMessage } from "./codec.js";

export type Body = Frame["body"];
export type BodyInit = NonNullable<MessageInitShape<typeof FrameSchema>["body"]>;
/** Who says it to whom: the same for nearly all frames on a connection. */
export type Envelope = Pick<Frame, "from" | "to" | "fromAddress">;

/** Tags of a frame's first fields, in the order of their bytes. */
const tags = { id: 0x09, isReply: 0x10, envelope: [0x1a, 0x22, 0x2a], hops: 0x30 } as const;

/** The frames that processes send one another. */
export const Wire = {
  /** A frame longer than this is foreign, and its connection is closed. */
  most: 64 * 1024 * 1024,

  encode(frame: MessageInitShape<typeof FrameSchema>): Uint8Array {
    return Checksum.seal(encodeMessage(FrameSchema, frame, Checksum.headerBytes));
  },

  /** A frame to be carried for another node, with whatever a later release has put into it. */
  decodeForwarded(bytes: Uint8Array): Frame | undefined {
    const opened = Checksum.verify(bytes);
    if (opened === undefined) return undefined;
    try {
      return fromBinary(FrameSchema, opened);
    } catch {
      return undefined;
    }
  },

  /** The bytes of a frame that is carried. */
  encodeForwarded(frame: Frame): Uint8Array {
    return Checksum.prepend(toBinary(FrameSchema, frame));
  },

  /** With the envelope of an earlier frame where the bytes have none of their own. */
  decode(bytes: Uint8Array, envelope?: Envelope): Frame | undefined {
    const opened = Checksum.verify(bytes);
    if (opened === undefined) return undefined;
    try {
      const frame = decodeMessage(FrameSchema, opened);
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
