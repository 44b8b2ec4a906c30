import type { Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import type { StoreClient } from "@cranetrack/core/store/storeClient.js";
import { OwnerKey, type OwnerRecord } from "@cranetrack/core/keys/ownerKey.js";

/** An owner key as read: its revision, by which it may be overwritten, and how many ms its lease has left. */
export type Owner = OwnerRecord & { revision: number; leaseLeft: number };

/** What the store says of a session's owner, read in one step. */
export interface OwnerRead {
  /** Undefined where nobody owns the session. */
  readonly owner: Owner | undefined;
  /** The revision at which sessions last lost their owner without a transfer; 0 where none ever did. */
  readonly ownersEndedAt: number;
  /** The keys under the prefixes that were asked for. */
  readonly kvs: Kv[];
}

/**
 * Who owns a session, as the store itself says; undefined where the store does not answer. Owner keys are pushed to
 * nobody: a node asks for the one it needs.
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
  const kept = kvs.find((kv) => kv.key === key);
  const ended = kvs.find((kv) => kv.key === EndedOwnersKey.name);
  const rest = { ownersEndedAt: ended?.revision ?? 0, kvs: kvs.filter((kv) => kv !== kept && kv !== ended) };
  if (kept === undefined) return { owner: undefined, ...rest };
  return { owner: ownerOf(kept), ...rest };
}

/** An owner key as it came from the store. */
export function ownerOf({ value, revision, leaseLeft }: Kv): Owner {
  // Foreign bytes under the key: nobody's claim, but the key's revision must be known to overwrite it.
  const { node, lease } = OwnerKey.read(value) ?? { node: "", lease: "" };
  return { node, lease, revision, leaseLeft };
}
