import { JsonValue } from "./jsonValue.js";

/** The stored value: the leader's node name, the identity of its disk, and the lease to which the key is attached. */
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
    return JsonValue.stringFields(JsonValue.read(value), ["name", "id", "lease"]);
  },
};
