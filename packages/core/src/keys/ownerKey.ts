import { sessionOfOwnerKey } from "./endedOwnersKey.js";
import { JsonValue } from "./jsonValue.js";

/** The stored value: the owning node, and its lease, with which the key ends. */
export interface OwnerRecord {
  node: string;
  lease: string;
}

/**
 * The key that names a session's owner, under the owning node's lease: when the node dies, its lease runs out and all
 * its owner keys end with it (FluxMQ paper, "etcd Keyspace" and "Session Ownership"). Key and value rest in the store:
 * they stay byte for byte.
 */
export const OwnerKey = {
  of(session: string): string {
    return `sessions/${session}/owner`;
  },

  /** What all keys of a session begin with: its owner and its kept subscriptions. */
  prefix(session: string): string {
    return `sessions/${session}/`;
  },

  /** The session that a key is about, if it is such a key. */
  sessionOf(key: string): string | undefined {
    return sessionOfOwnerKey(key);
  },

  /** The session that has a key among its own, whichever it is. */
  sessionWith(key: string): string | undefined {
    return /^sessions\/([^/]+)\//.exec(key)?.[1];
  },

  write(record: OwnerRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): OwnerRecord | undefined {
    return JsonValue.texts(JsonValue.read(value), ["node", "lease"]);
  },
};
