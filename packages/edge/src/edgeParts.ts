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

/** The state and services of an edge node that its request handlers share. */
export interface EdgeParts {
  readonly node: ClusterNode;
  readonly lease: LeaseKeepAlive;
  readonly sessions: Sessions;
  readonly joinings: JoiningStats;
  readonly streams: StreamTable;
  readonly configurationCheck: ConfigurationCheck;
  readonly router: Router;
  /** Milliseconds between two heartbeats on a client connection. */
  readonly heartbeatIntervalMs: number;
  /** The longest that a publish may take, in milliseconds; a space's deadline may shorten it. */
  readonly publishTimeoutMs: number;
  /** How long the store keeps the subscriptions of a session whose lease is not renewed, in milliseconds. */
  readonly sessionRetentionMs: number;
  /** The node is shutting down and admits no more connections. */
  readonly isDraining: boolean;
  /** Shared by all connections that wait for contact with the store: the delay between two checks for it. */
  readonly storeContactDelay: SharedDelay;
  /** Connection requests in progress; each becomes a connection if it succeeds. */
  admittingCount: number;
  /** Settings that a reload of the settings file may change while the node runs. */
  readonly liveSettings: { maxConnections: number; bufferBytes: number };
  /** False if this node may no longer send for the session, or if the client reads too slowly; that disconnects it. */
  maySend(session: Session, connection: ClientConnection): boolean;
}
