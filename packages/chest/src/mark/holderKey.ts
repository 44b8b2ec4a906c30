import { type } from "arktype";
import { JsonValue } from "./jsonValue.js";

/** The holder's node, the identity of its disk, and the lease that the key is under. */
const shape = type({ name: "string", id: "string", lease: "string" });

export type HolderRecord = typeof shape.infer;

/** The key that names a shard's holder; its revision is the shard's epoch. */
export const HolderKey = {
  of(shard: number): string {
    return `shards/${shard}/holder`;
  },

  write(record: HolderRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): HolderRecord | undefined {
    return JsonValue.read(value, shape);
  },
};
