/** A shard's replica set as the store keeps it: for each replica its disk identity, machine name and zone. */
export interface ShardSet {
  readonly members: ReadonlyArray<{ id: string; name: string; zone: string }>;
}
