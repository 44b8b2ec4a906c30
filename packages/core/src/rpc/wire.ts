import { fromBinary, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { FrameSchema, type Frame } from "../gen/cranetrack_pb.js";
import { Checksum } from "./checksum.js";
import { decodeMessage, encodeMessage } from "./codec.js";

/** The content of a decoded frame: a call, a reply or a message. */
export type Body = Frame["body"];
/** The content of a frame to be sent; fields may be left out. */
export type BodyInit = NonNullable<MessageInitShape<typeof FrameSchema>["body"]>;
/** Sender and receiver of a frame: the same for nearly all frames on a connection. */
export type Envelope = Pick<Frame, "from" | "to" | "fromAddress">;

/** Protobuf tags of a frame's first fields, in the order in which they are encoded. */
const fieldTags = { id: 0x09, isReply: 0x10, envelope: [0x1a, 0x22, 0x2a], hops: 0x30 } as const;

/** Encodes and decodes the frames that processes send each other. */
export const Wire = {
  /** Maximum length of a frame in bytes; a connection that announces a longer one is closed as garbled. */
  maxFrameBytes: 64 * 1024 * 1024,

  /** Encodes a frame behind its checksum. */
  encode(frame: MessageInitShape<typeof FrameSchema>): Uint8Array {
    return Checksum.fillHeader(encodeMessage(FrameSchema, frame, Checksum.headerBytes));
  },

  /** Decodes a frame to be relayed, keeping fields that this release does not know; undefined if it is invalid. */
  decodeForwarded(bytes: Uint8Array): Frame | undefined {
    const payload = Checksum.verify(bytes);
    if (payload === undefined) return undefined;
    try {
      return fromBinary(FrameSchema, payload);
    } catch {
      return undefined;
    }
  },

  /** Encodes a frame that is relayed, with its unknown fields. */
  encodeForwarded(frame: Frame): Uint8Array {
    return Checksum.prepend(toBinary(FrameSchema, frame));
  },

  /** Decodes a frame, with `envelope` of an earlier frame if the bytes have none; undefined if it is invalid. */
  decode(bytes: Uint8Array, envelope?: Envelope): Frame | undefined {
    const payload = Checksum.verify(bytes);
    if (payload === undefined) return undefined;
    try {
      const frame = decodeMessage(FrameSchema, payload);
      if (envelope !== undefined) ({ from: frame.from, to: frame.to, fromAddress: frame.fromAddress } = envelope);
      return frame.from === "" || frame.body.case === undefined ? undefined : frame;
    } catch {
      return undefined;
    }
  },

  /** The byte range of the envelope in a frame; undefined if it is relayed, or the envelope missing or too long. */
  envelopeRange(bytes: Uint8Array): [start: number, end: number] | undefined {
    let position = 4;
    if (bytes[position] === fieldTags.id) position += 9;
    if (bytes[position] === fieldTags.isReply) position += 2;
    const start = position;
    for (const tag of fieldTags.envelope) {
      if (bytes[position] !== tag) continue;
      const length = bytes[position + 1]!;
      if (length > 127) return undefined;
      position += 2 + length;
    }
    return position === start || position >= bytes.length || bytes[position] === fieldTags.hops
      ? undefined
      : [start, position];
  },

  /** Returns the bytes of a frame without the envelope. */
  stripEnvelope(bytes: Uint8Array, [start, end]: [number, number]): Uint8Array {
    return Checksum.prepend(bytes.subarray(4, start), bytes.subarray(end));
  },
};
