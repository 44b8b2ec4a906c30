import { JsonValue } from "./jsonValue.js";
import type { ShardSet } from "../feeds/shardSet.js";

/** The key of a shard's replica set. */
export const ReplicasKey = {
  of(shard: number): string {
    return `shards/${shard}/replicas`;
  },

  write(set: ShardSet): Uint8Array {
    return JsonValue.write(set);
  },

  read(value: Uint8Array): ShardSet | undefined {
    const members = JsonValue.read(value)?.["members"];
    if (!Array.isArray(members)) return undefined;
    const parsed = members.map((member) => JsonValue.stringFields(member, ["id", "name", "zone"]));
    return parsed.every((member) => member !== undefined) ? { members: parsed } : undefined;
  },
};
