import { sessionOfOwnerKey } from "./endedOwnersKey.js";
import { JsonValue } from "./jsonValue.js";

/** The stored value: the owning node and its lease; the key is removed when the lease ends. */
export interface OwnerRecord {
  node: string;
  lease: string;
}

/**
 * The key that names the owner of a session, attached to the owning node's lease: when the node fails, its lease
 * expires and all its owner keys are removed (FluxMQ paper, "etcd Keyspace" and "Session Ownership"). Key and value are
 * stored, so their format must stay byte for byte.
 */
export const OwnerKey = {
  of(session: string): string {
    return `sessions/${session}/owner`;
  },

  /** The prefix of all keys of a session: its owner and its stored subscriptions. */
  prefix(session: string): string {
    return `sessions/${session}/`;
  },

  /** The session in an owner key; undefined if the key is of another kind. */
  sessionOf(key: string): string | undefined {
    return sessionOfOwnerKey(key);
  },

  /** The session to which any key with a session's prefix belongs; undefined for other keys. */
  sessionWith(key: string): string | undefined {
    return /^sessions\/([^/]+)\//.exec(key)?.[1];
  },

  write(record: OwnerRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): OwnerRecord | undefined {
    return JsonValue.stringFields(JsonValue.read(value), ["node", "lease"]);
  },
};
