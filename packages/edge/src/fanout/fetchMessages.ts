import type { MessageInitShape } from "@bufbuild/protobuf";
import type { FetchSchema, StreamMessage } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Incarnations } from "@cranetrack/core/configuration/incarnation.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";

/**
 * Messages of one incarnation, in order; `trimmed` where those up to `low` are gone from the log, `gone` where the
 * whole incarnation is.
 */
export interface Fetched {
  outcome: "done" | "trimmed" | "gone";
  low: number;
  messages: readonly StreamMessage[];
  /** For each topic the last message of it that was trimmed. */
  trims: ReadonlyMap<string, number>;
}

const timeoutMs = 800;
const limit = 500;

/** Messages after an offset that the tail no longer has; undefined where that server can't give them now. */
export async function fetchMessages(
  node: ClusterNode,
  server: string,
  fetch: MessageInitShape<typeof FetchSchema> & { incarnation: string },
): Promise<Fetched | undefined> {
  if (server === "") return undefined;
  const reply = await node.rpc.call(server, { case: "fetch", value: { ...fetch, limit } }, timeoutMs);
  if (reply?.case !== "fetchReply") return undefined;
  const { outcome, low, batch, trims } = reply.value;
  if (outcome === "another-birth") return { outcome: "gone", low, messages: [], trims: new Map() };
  if ((outcome !== "done" && outcome !== "trimmed") || batch === undefined) return undefined;
  if (!Incarnations.isSame(batch.incarnation, fetch.incarnation)) return undefined;
  return { outcome, low, messages: batch.messages, trims: new Map(trims.map(({ topic, seq }) => [topic, seq])) };
}
