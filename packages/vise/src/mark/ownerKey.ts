import { type } from "arktype";
import { JsonValue } from "@cranetrack/chest/mark/jsonValue.js";

const shape = type({ node: "string", lease: "string" });

export type OwnerRecord = typeof shape.infer;

/** The key that names a session's owner, under the owning node's lease. */
export const OwnerKey = {
  of(session: string): string {
    return `sessions/${session}/owner`;
  },

  /** The session that a key is about, if it is such a key. */
  sessionOf(key: string): string | undefined {
    return /^sessions\/([^/]+)\/owner$/.exec(key)?.[1];
  },

  write(record: OwnerRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): OwnerRecord | undefined {
    return JsonValue.read(value, shape);
  },
};
