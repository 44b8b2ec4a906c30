import type { MessageInitShape } from "@bufbuild/protobuf";
import { StoreCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { encodeMessage } from "@cranetrack/core/rpc/codec.js";

/** Encodes a command of the metadata store as the data of a log entry. */
export function encodeCommand(command: MessageInitShape<typeof StoreCommandSchema>["command"]): Uint8Array {
  return encodeMessage(StoreCommandSchema, { command });
}
