import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { Rendezvous } from "@cranetrack/core/membership/rendezvous.js";
import { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import { SharedDelay } from "@cranetrack/core/runtime/sharedDelay.js";
import type { Router } from "@cranetrack/core/http/router.js";
import type { ClientConnection } from "./connections/clientConnection.js";
import { SubscriptionKey } from "./subscriptions/subscriptionKey.js";
import type { Session } from "./sessions/session.js";
import { JoiningStats } from "./sessions/joiningStats.js";
import { Sessions } from "./sessions/sessions.js";
import { ConfigurationCheck } from "./publishing/configurationCheck.js";
import { StreamTable } from "./fanout/streamTable.js";
import type { EdgeParts } from "./edgeParts.js";
import { nodeRole } from "@cranetrack/core/membership/nodeRole.js";

/**
 * An edge node: the client connections, their sessions, and the streams that these subscribe to. It stores nothing on
 * disk. Invariant: without its lease in the metadata store it sends nothing to any client (`maySend`).
 */
export class EdgeNode implements EdgeParts {
  /** Connections are closed when the newest update from the metadata store is older than this, in milliseconds. */
  static readonly storeContactTimeoutMs = 3000;
  /** Milliseconds between two checks for contact with the store while connections wait for it. */
  static readonly storeContactPollMs = 50;
  /** Milliseconds that a draining node leaves other edges to take its sessions over. */
  static readonly takeoverMs = 1500;
  /** Milliseconds between two renewals of the leases of the sessions' subscriptions. */
  static readonly sessionRenewalMs = 200_000;

  readonly node: ClusterNode;
  readonly lease: LeaseKeepAlive;
  readonly sessions: Sessions;
  readonly joinings: JoiningStats;
  readonly streams: StreamTable;
  readonly configurationCheck: ConfigurationCheck;
  readonly router: Router;
  readonly heartbeatIntervalMs = 300;
  readonly publishTimeoutMs = 700;
  readonly sessionRetentionMs = 900_000;
  readonly liveSettings: { maxConnections: number; bufferBytes: number };
  readonly storeContactDelay: SharedDelay;
  isDraining = false;
  admittingCount = 0;

  constructor(node: ClusterNode, router: Router) {
    const { settings, clock, random } = node.parts;
    this.node = node;
    this.router = router;
    this.liveSettings = { maxConnections: settings.maxConnections, bufferBytes: settings.bufferBytes };
    this.storeContactDelay = new SharedDelay(clock, EdgeNode.storeContactPollMs);
    this.lease = new LeaseKeepAlive(settings.name, settings.edgeLeaseMs, node.store, clock, random);
    this.joinings = new JoiningStats(clock);
    this.sessions = new Sessions(node, this.lease, this.joinings.steps);
    this.streams = new StreamTable(node);
    this.configurationCheck = new ConfigurationCheck(node.store);
    node.load.add("joinings", () => this.joinings.takeInterval());
    node.load.add("edge", () => ({ fields: this.#loadFields(), isNotable: false }));
    node.configuration.on("changed", () => this.#configurationChanged());
    clock.every(this.heartbeatIntervalMs, () => this.#tick());
    clock.every(EdgeNode.sessionRenewalMs, () => this.#renewSessions());
  }

  /** Whether the node accepts connections: it holds its lease, gets updates from the store and is not draining. */
  get isReady(): boolean {
    return !this.isDraining && this.lease.isHeld && this.node.feed.isFresh;
  }

  /** The edge's part of `GET /v1/status`. The field names are part of the API. */
  status(): object {
    return {
      links: this.sessions.connectionCount,
      sessions: this.sessions.table.size,
      keptPulls: this.sessions.shippedStateCount,
      streams: this.streams.count,
      isDraining: this.isDraining,
      hasLease: this.lease.isHeld,
      leasesLost: this.lease.losses,
      joinings: this.joinings.status(),
    };
  }

  #loadFields(): Record<string, number> {
    const { connectionCount: connections, table } = this.sessions;
    return { connections, sessions: table.size, admitting: this.admittingCount, leasesLost: this.lease.losses };
  }

  /** Starts to acquire and renew the node's lease. */
  start(): void {
    this.lease.start();
  }

  /** Checked before each delivery. Disconnects a client that has left more than `bufferBytes` bytes unread. */
  maySend(session: Session, connection: ClientConnection): boolean {
    if (!this.lease.isHeld || session.isStopped || session.connection !== connection) return false;
    if (connection.bufferedBytes <= this.liveSettings.bufferBytes) return true;
    session.disconnect("the reader is too slow", 0.5, this.node.parts.clock.now());
    return false;
  }

  /**
   * Graceful shutdown: stops admitting clients and directs each connected one to another edge. Leaves other edges
   * `takeoverMs` to take the sessions over, then releases the owner keys of the remaining sessions and the lease.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    const otherEdges = this.#otherEdgeAddresses();
    this.sessions.disconnectAll(
      "stopping",
      () => this.node.parts.random.draw() * 0.5,
      (session) => Rendezvous.rank(session, otherEdges)[0] ?? "",
    );
    await new Promise<void>((resolve) => void this.node.parts.clock.once(EdgeNode.takeoverMs, resolve));
    // Sessions whose clients keep their own subscriptions have no state to store: their owner keys end with the lease.
    const toRelease = [...this.sessions.table.values()].filter((session) => !session.clientKeepsSubscriptions);
    await Promise.all(toRelease.map((session) => this.sessions.release(session)));
    await this.lease.end();
  }

  /** Addresses for the clients of this node to reconnect to: edges in its zone, or in the others if it has none. */
  #otherEdgeAddresses(): string[] {
    const { rpc, membership, parts } = this.node;
    const others = membership
      .alive(nodeRole.edge)
      .filter(({ name }) => name !== rpc.name)
      .map(({ zone, clients, http }) => ({ zone, address: clients === "" ? http : clients }))
      .filter(({ address }) => address !== "");
    const sameZone = others.filter(({ zone }) => zone === parts.settings.zone);
    return (sameZone.length > 0 ? sameZone : others).map(({ address }) => address);
  }

  #configurationChanged(): void {
    for (const session of this.sessions.table.values()) {
      for (const cursor of session.cursors()) cursor.configurationChanged(this.node.configuration);
      session.onConfigurationChanged?.();
    }
  }

  /** Sends heartbeats to clients, or disconnects them all once the node has lost contact with the store. */
  #tick(): void {
    const isOutOfContact = this.node.feed.age > EdgeNode.storeContactTimeoutMs;
    for (const session of this.sessions.table.values()) {
      const { connection } = session;
      if (connection === undefined) continue;
      if (isOutOfContact) session.disconnect("this node is out of touch", 0.2, this.node.parts.clock.now());
      else if (this.maySend(session, connection) && !session.clientKeepsSubscriptions)
        connection.send({ kind: "beat" });
    }
  }

  /** Renews the leases of the stored subscriptions. */
  #renewSessions(): void {
    for (const session of this.sessions.table.values())
      if (!session.clientKeepsSubscriptions)
        void this.node.store.call({ case: "renew", value: { lease: SubscriptionKey.leaseOf(session.id) } });
  }
}
