import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { RandomSource } from "@cranetrack/core/runtime/random.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import type { LogGroups } from "@cranetrack/core/replication/logGroups.js";
import type { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";

/** What a ledger works with: this control node's identity in the founded store, its log, and the seams. */
export interface RaftNodeParts {
  readonly id: string;
  readonly founding: string;
  readonly log: ReplicaLog;
  readonly rpc: RpcEndpoint;
  readonly groups: LogGroups;
  readonly electionMs: number;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logBuffer: LogBuffer;
  /** Told of entries that diverge from what is committed here; nobody is told where left out. */
  readonly invariants?: Pick<InvariantMonitor, "violated">;
  /** False for a disk that is there twice or is an older copy: it neither votes nor counts. */
  readonly isTrusted: (id: string) => boolean;
  /** When the log is compacted; `storeCompaction` where left out. */
  readonly compaction?: CompactionBounds;
}
