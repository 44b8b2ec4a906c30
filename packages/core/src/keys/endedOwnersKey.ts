/** The stored name of a session's owner key; it must not change. */
const ownerKeyPattern = /^sessions\/([^/]+)\/owner$/;

/** The session in an owner key; undefined if the key is of another kind. */
export function sessionOfOwnerKey(key: string): string | undefined {
  return ownerKeyPattern.exec(key)?.[1];
}

/**
 * The key whose revision rises whenever sessions lose their owner without a transfer of state: because the lease of
 * their owner keys ended, or because an owner gave a session up. It is written in the same step in which the owner keys
 * are removed, so a read that finds a session without an owner sees the revision of that removal or a later one.
 */
export const EndedOwnersKey = {
  name: "owners-ended",

  /** The stored value: the lease of the lost owner, for diagnosis. Only the key's revision has a meaning. */
  write(lease: string): Uint8Array {
    return Buffer.from(lease);
  },
};
