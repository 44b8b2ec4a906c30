import { type } from "arktype";
import { JsonValue } from "./jsonValue.js";
import type { ShardSet } from "./shardSet.js";

const shape = type({ members: type({ id: "string", name: "string", zone: "string" }).array() });

/** The key that names a shard's replica set. */
export const ReplicasKey = {
  of(shard: number): string {
    return `shards/${shard}/replicas`;
  },

  write(set: ShardSet): Uint8Array {
    return JsonValue.write(set);
  },

  read(value: Uint8Array): ShardSet | undefined {
    return JsonValue.read(value, shape);
  },
};
