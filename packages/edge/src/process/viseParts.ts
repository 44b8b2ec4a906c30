import type { ClusterNode } from "@cranetrack/core/process/clusterNode.js";
import type { LeaseKeeper } from "@cranetrack/core/process/leaseKeeper.js";
import type { Router } from "@cranetrack/core/process/router.js";
import type { ClientLink } from "../link/clientLink.js";
import type { Session } from "./session.js";
import type { Sessions } from "./sessions.js";
import type { PlanCheck } from "./planCheck.js";
import type { StreamTable } from "./streamTable.js";

/** What the requests of an edge work with. */
export interface ViseParts {
  readonly node: ClusterNode;
  readonly lease: LeaseKeeper;
  readonly sessions: Sessions;
  readonly streams: StreamTable;
  readonly planCheck: PlanCheck;
  readonly router: Router;
  readonly beatMs: number;
  readonly publishDue: number;
  readonly sessionKeepMs: number;
  readonly isDraining: boolean;
  /** Link requests under way that will count as links if they succeed. */
  enrolling: number;
  readonly live: { mostLinks: number; bufferBytes: number };
  /** False once the claim is gone or the reader too slow; the link is closed then. */
  maySend(session: Session, link: ClientLink): boolean;
}
