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
 * An edge: clients' connections, their sessions, and the streams these need. Keeps nothing on disk.
 * Invariant: without its lease in the metadata store it sends nothing to any client (`maySend`).
 */
export class EdgeNode implements EdgeParts {
  /** Age of the newest update from the metadata store, in milliseconds, at which connections are closed. */
  static readonly outOfTouchMs = 3000;
  /** How often a connection that waits for the store looks again whether the node is in touch with it. */
  static readonly touchDelayMs = 50;

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
  readonly live: { maxConnections: number; bufferBytes: number };
  readonly touchDelay: SharedDelay;
  isDraining = false;
  admitting = 0;

  constructor(node: ClusterNode, router: Router) {
    const { settings, clock, random } = node.parts;
    this.node = node;
    this.router = router;
    this.live = { maxConnections: settings.maxConnections, bufferBytes: settings.bufferBytes };
    this.touchDelay = new SharedDelay(clock, EdgeNode.touchDelayMs);
    this.lease = new LeaseKeepAlive(settings.name, settings.edgeLeaseMs, node.store, clock, random);
    this.joinings = new JoiningStats(clock);
    this.sessions = new Sessions(node, this.lease, this.joinings.steps);
    this.streams = new StreamTable(node);
    this.configurationCheck = new ConfigurationCheck(node.store);
    node.load.add("joinings", () => this.joinings.takeInterval());
    node.load.add("edge", () => ({ fields: this.#loadFields(), isNotable: false }));
    node.configuration.on("changed", () => this.#configurationChanged());
    clock.every(this.heartbeatIntervalMs, () => this.#tick());
    clock.every(200_000, () => this.#renewSessions());
  }

  /** Ready to take connections: holds its lease, hears from the store, and is not draining. */
  get isReady(): boolean {
    return !this.isDraining && this.lease.isHeld && this.node.feed.isFresh;
  }

  /** The edge's part of `GET /v1/status`; field names are the API's. */
  status(): object {
    return {
      links: this.sessions.connections,
      sessions: this.sessions.table.size,
      keptPulls: this.sessions.keptPulls,
      streams: this.streams.count,
      isDraining: this.isDraining,
      hasLease: this.lease.isHeld,
      leasesLost: this.lease.losses,
      joinings: this.joinings.status(),
    };
  }

  #loadFields(): Record<string, number> {
    const { connections, table } = this.sessions;
    return { connections, sessions: table.size, admitting: this.admitting, leasesLost: this.lease.losses };
  }

  /** Begins to acquire the node's lease. */
  start(): void {
    this.lease.start();
  }

  /** Asked before each delivery; a reader with more than `bufferBytes` unread is disconnected. */
  maySend(session: Session, connection: ClientConnection): boolean {
    if (!this.lease.isHeld || session.isStopped || session.connection !== connection) return false;
    if (connection.waitingBytes <= this.live.bufferBytes) return true;
    session.disconnect("the reader is too slow", 0.5, this.node.parts.clock.now());
    return false;
  }

  /**
   * Graceful shutdown: admits no client, sends each to another edge, leaves the sessions to be taken over for 1.5 s and
   * releases the owner keys of the rest, then the lease.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    const next = this.#nextAddresses();
    this.sessions.disconnectAll(
      "stopping",
      () => this.node.parts.random.draw() * 0.5,
      (session) => Rendezvous.rank(session, next)[0] ?? "",
    );
    await new Promise<void>((resolve) => void this.node.parts.clock.once(1500, resolve));
    // Sessions whose clients bring their topics have nothing to keep: their keys go with the lease.
    const kept = [...this.sessions.table.values()].filter((session) => !session.bringsTopics);
    await Promise.all(kept.map((session) => this.sessions.release(session)));
    await this.lease.end();
  }

  /** Where this node's clients may go: edges of its zone, else of the others. */
  #nextAddresses(): string[] {
    const { rpc, membership, parts } = this.node;
    const others = membership
      .alive(nodeRole.edge)
      .filter(({ name }) => name !== rpc.name)
      .map(({ zone, clients, http }) => ({ zone, address: clients === "" ? http : clients }))
      .filter(({ address }) => address !== "");
    const near = others.filter(({ zone }) => zone === parts.settings.zone);
    return (near.length > 0 ? near : others).map(({ address }) => address);
  }

  #configurationChanged(): void {
    for (const session of this.sessions.table.values()) {
      for (const cursor of session.cursors()) cursor.configurationChanged(this.node.configuration);
      session.whenConfigurationChanged?.();
    }
  }

  #tick(): void {
    const isLost = this.node.feed.age > EdgeNode.outOfTouchMs;
    for (const session of this.sessions.table.values()) {
      const { connection } = session;
      if (connection === undefined) continue;
      if (isLost) session.disconnect("this node is out of touch", 0.2, this.node.parts.clock.now());
      else if (this.maySend(session, connection) && !session.bringsTopics) connection.send({ kind: "beat" });
    }
  }

  #renewSessions(): void {
    for (const session of this.sessions.table.values())
      if (!session.bringsTopics)
        void this.node.store.call({ case: "renew", value: { lease: SubscriptionKey.leaseOf(session.id) } });
  }
}
