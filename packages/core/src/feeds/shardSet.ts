/** A shard's replica set as the store keeps it: disk identities with the machines' names. */
export interface ShardSet {
  readonly members: ReadonlyArray<{ id: string; name: string; zone: string }>;
}
