import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { OwnerKey, type OwnerRecord } from "./ownerKey.js";

/** An owner key as read: its revision, by which it may be overwritten, and how many ms its lease has left. */
export type Owner = OwnerRecord & { revision: number; leaseLeft: number };

/**
 * Who owns a session, as the store itself says; `owner` is undefined where nobody does, all is undefined where
 * the store does not answer. Owner keys are pushed to nobody: a node asks for the one it needs.
 */
export async function readOwner(
  store: Pick<StoreClient, "read">,
  session: string,
  prefixes: string[] = [],
): Promise<{ owner: Owner | undefined; kvs: Kv[] } | undefined> {
  const key = OwnerKey.of(session);
  const read = await store.read([key], prefixes);
  if (read.outcome !== "done") return undefined;
  const kvs = read.kvs ?? [];
  const kept = kvs.find((kv) => kv.key === key);
  const record = kept === undefined ? undefined : OwnerKey.read(kept.value);
  const others = kvs.filter((kv) => kv !== kept);
  if (kept === undefined) return { owner: undefined, kvs: others };
  // Foreign bytes under the key: nobody's claim, but the key's revision must be known to overwrite it.
  const { node, lease } = record ?? { node: "", lease: "" };
  return { owner: { node, lease, revision: kept.revision, leaseLeft: kept.leaseLeft }, kvs: others };
}
