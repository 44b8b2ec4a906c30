import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { OwnerKey, type OwnerRecord } from "@cranetrack/core/keys/ownerKey.js";

/** An owner key as read, with the revision needed to overwrite it and the milliseconds left of its lease. */
export type Owner = OwnerRecord & { revision: number; leaseLeft: number };

/** Result of `readOwner`: the keys as they were at one point in time. */
export interface OwnerRead {
  /** Undefined if no node owns the session. */
  readonly owner: Owner | undefined;
  /** The revision at which sessions last lost their owner without a transfer; 0 if that never happened. */
  readonly ownersEndedAt: number;
  /** The keys under the requested prefixes. */
  readonly kvs: Kv[];
}

/**
 * Reads a session's owner key from the metadata store, with the keys under `prefixes`; undefined if the store does not
 * answer. The store pushes no owner keys to nodes, so a node reads the key that it needs.
 */
export async function readOwner(
  store: Pick<StoreClient, "read">,
  session: string,
  prefixes: string[] = [],
): Promise<OwnerRead | undefined> {
  const key = OwnerKey.of(session);
  const read = await store.read([key, EndedOwnersKey.name], prefixes);
  if (read.outcome !== "done") return undefined;
  const kvs = read.kvs ?? [];
  const ownerKv = kvs.find((kv) => kv.key === key);
  const endedOwnersKv = kvs.find((kv) => kv.key === EndedOwnersKey.name);
  const rest = {
    ownersEndedAt: endedOwnersKv?.revision ?? 0,
    kvs: kvs.filter((kv) => kv !== ownerKv && kv !== endedOwnersKv),
  };
  if (ownerKv === undefined) return { owner: undefined, ...rest };
  return { owner: ownerOf(ownerKv), ...rest };
}

/** Decodes an owner key that was read from the store. */
export function ownerOf({ value, revision, leaseLeft }: Kv): Owner {
  // An unreadable value means that no node owns the session; the key's revision is still needed to overwrite it.
  const { node, lease } = OwnerKey.read(value) ?? { node: "", lease: "" };
  return { node, lease, revision, leaseLeft };
}
