import type { ReplicaLog } from "@cranetrack/core/mark/replicaLog.js";
import type { Chance } from "@cranetrack/core/process/chance.js";
import type { Clock } from "@cranetrack/core/process/clock.js";
import type { Exchange } from "@cranetrack/core/process/exchange.js";
import type { Groups } from "@cranetrack/core/process/groups.js";
import type { LogRing } from "@cranetrack/core/process/logRing.js";

/** What a ledger works with: this lathe's identity in the founded store, its log, and the seams. */
export interface LedgerParts {
  readonly id: string;
  readonly founding: string;
  readonly log: ReplicaLog;
  readonly exchange: Exchange;
  readonly groups: Groups;
  readonly electionMs: number;
  readonly clock: Clock;
  readonly chance: Chance;
  readonly ring: LogRing;
}
