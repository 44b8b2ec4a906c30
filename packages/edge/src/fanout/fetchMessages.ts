import type { MessageInitShape } from "@bufbuild/protobuf";
import type { FetchSchema, StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/**
 * Messages of one incarnation, in order. `trimmed`: the messages up to `low` have been deleted from the log; `gone`:
 * the whole incarnation has.
 */
export interface FetchResult {
  outcome: "done" | "trimmed" | "gone";
  /** The lowest offset after which messages can be read. */
  low: number;
  messages: readonly StreamMessage[];
  /** For each topic the sequence number of its last trimmed message. */
  trims: ReadonlyMap<string, number>;
}

const fetchTimeoutMs = 800;
const maxFetchedMessages = 500;

/** Fetches messages that the tail no longer has from a leader or replica; undefined if it can't return them now. */
export async function fetchMessages(
  node: ClusterNode,
  server: string,
  fetch: MessageInitShape<typeof FetchSchema> & { incarnation: string },
): Promise<FetchResult | undefined> {
  if (server === "") return undefined;
  const reply = await node.rpc.call(
    server,
    { case: "fetch", value: { ...fetch, limit: maxFetchedMessages } },
    fetchTimeoutMs,
  );
  if (reply?.case !== "fetchReply") return undefined;
  const { outcome, low, batch, trims } = reply.value;
  if (outcome === "another-birth") return { outcome: "gone", low, messages: [], trims: new Map() };
  if ((outcome !== "done" && outcome !== "trimmed") || batch === undefined) return undefined;
  if (!Incarnations.isSame(batch.incarnation, fetch.incarnation)) return undefined;
  return { outcome, low, messages: batch.messages, trims: new Map(trims.map(({ topic, seq }) => [topic, seq])) };
}
