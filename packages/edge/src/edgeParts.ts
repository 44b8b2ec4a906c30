import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import type { SharedDelay } from "@cranetrack/core/runtime/sharedDelay.js";
import type { Router } from "@cranetrack/core/http/router.js";
import type { ClientConnection } from "./connections/clientConnection.js";
import type { Session } from "./sessions/session.js";
import type { JoiningStats } from "./sessions/joiningStats.js";
import type { Sessions } from "./sessions/sessions.js";
import type { ConfigurationCheck } from "./publishing/configurationCheck.js";
import type { StreamTable } from "./fanout/streamTable.js";

/** What the requests of an edge work with. */
export interface EdgeParts {
  readonly node: ClusterNode;
  readonly lease: LeaseKeepAlive;
  readonly sessions: Sessions;
  readonly joinings: JoiningStats;
  readonly streams: StreamTable;
  readonly configurationCheck: ConfigurationCheck;
  readonly router: Router;
  readonly heartbeatIntervalMs: number;
  readonly publishTimeoutMs: number;
  readonly sessionRetentionMs: number;
  readonly isDraining: boolean;
  /** Between two looks at whether the node is in touch with the store, for all connections that wait for that. */
  readonly touchDelay: SharedDelay;
  /** Connection requests under way that will count as connections if they succeed. */
  admitting: number;
  readonly live: { maxConnections: number; bufferBytes: number };
  /** False once the ownership is lost or the reader too slow; the connection is closed then. */
  maySend(session: Session, connection: ClientConnection): boolean;
}
