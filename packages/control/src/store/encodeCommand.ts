import type { MessageInitShape } from "@bufbuild/protobuf";
import { StoreCommandSchema } from "@cranetrack/core/gen/cranetrack_pb.js";
import { encodeMessage } from "@cranetrack/core/rpc/codec.js";

/** The bytes of a log entry of the metadata store. */
export function encodeCommand(command: MessageInitShape<typeof StoreCommandSchema>["command"]): Uint8Array {
  return encodeMessage(StoreCommandSchema, { command });
}
