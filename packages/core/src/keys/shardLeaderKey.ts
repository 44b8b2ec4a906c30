import { JsonValue } from "./jsonValue.js";

/** The leader's node, the identity of its disk, and the lease that the key is under. */
export interface ShardLeaderRecord {
  name: string;
  id: string;
  lease: string;
}

/** The key that names a shard's leader; its revision is the shard's epoch. */
export const ShardLeaderKey = {
  of(shard: number): string {
    return `shards/${shard}/holder`;
  },

  write(record: ShardLeaderRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): ShardLeaderRecord | undefined {
    return JsonValue.texts(JsonValue.read(value), ["name", "id", "lease"]);
  },
};
