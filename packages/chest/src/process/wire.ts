import { create, fromBinary, toBinary, type MessageInitShape } from "@bufbuild/protobuf";
import { FrameSchema, type Frame } from "../gen/cranetrack_pb.js";
import { Seal } from "./seal.js";

export type Body = Frame["body"];
export type BodyInit = NonNullable<MessageInitShape<typeof FrameSchema>["body"]>;

/** The frames that processes send one another. */
export const Wire = {
  /** A frame longer than this is foreign, and its connection is closed. */
  most: 64 * 1024 * 1024,

  encode(frame: MessageInitShape<typeof FrameSchema>): Uint8Array {
    return Seal.close(toBinary(FrameSchema, create(FrameSchema, frame)));
  },

  /** The bytes of a frame that was decoded before. */
  again(frame: Frame): Uint8Array {
    return Seal.close(toBinary(FrameSchema, frame));
  },

  decode(bytes: Uint8Array): Frame | undefined {
    const opened = Seal.open(bytes);
    if (opened === undefined) return undefined;
    try {
      const frame = fromBinary(FrameSchema, opened);
      return frame.from === "" || frame.body.case === undefined ? undefined : frame;
    } catch {
      return undefined;
    }
  },
};
