import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * Lease deadlines by the clock of the present leader, in milliseconds. A lease ends only when a log entry revokes it.
 * Invariant: a lease's deadline is never earlier than its full length after the last renewal confirmed by a
 * majority, or after the present leader was elected.
 */
export class Leases {
  /** Interval between checks for expired leases. */
  static readonly tickIntervalMs = 25;

  readonly #raft: RaftNode;
  readonly #clock: Clock;
  readonly #proposeRevoke: (lease: string) => void;
  readonly #deadlines = new Map<string, number>();
  /** Leases whose revocation is proposed; they can't be renewed any more. */
  readonly #expiring = new Set<string>();

  constructor(raft: RaftNode, clock: Clock, proposeRevoke: (lease: string) => void) {
    this.#raft = raft;
    this.#clock = clock;
    this.#proposeRevoke = proposeRevoke;
    raft.on("elected", () => this.#onElected());
    raft.on("deposed", () => this.#deadlines.clear());
    raft.on("applied", () => this.#onApplied());
    clock.every(Leases.tickIntervalMs, () => this.#tick());
  }

  /** False if the lease is gone or expiring. The caller has to confirm the leadership before it replies. */
  renew(lease: string): boolean {
    const record = this.#raft.metadata.leases.get(lease);
    if (record === undefined || this.#expiring.has(lease)) return false;
    this.#deadlines.set(lease, this.#clock.now() + record.length);
    return true;
  }

  /** Milliseconds until the lease expires unless it is renewed; 0 if the lease or its deadline is not known here. */
  remainingMs(lease: string): number {
    return Math.max(0, (this.#deadlines.get(lease) ?? 0) - this.#clock.now());
  }

  #onElected(): void {
    this.#deadlines.clear();
    this.#expiring.clear();
    for (const [lease, { length }] of this.#raft.metadata.leases)
      this.#deadlines.set(lease, this.#clock.now() + length);
  }

  #onApplied(): void {
    const { leases } = this.#raft.metadata;
    if (!this.#raft.isLeader || (leases.size === this.#deadlines.size && this.#expiring.size === 0)) return;
    for (const [lease, { length }] of leases)
      if (!this.#deadlines.has(lease)) this.#deadlines.set(lease, this.#clock.now() + length);
    for (const lease of this.#deadlines.keys()) if (!leases.has(lease)) this.#deadlines.delete(lease);
    for (const lease of this.#expiring) if (!leases.has(lease)) this.#expiring.delete(lease);
  }

  #tick(): void {
    if (!this.#raft.isLeader) return;
    for (const [lease, deadline] of this.#deadlines) {
      if (this.#clock.now() < deadline || this.#expiring.has(lease)) continue;
      this.#expiring.add(lease);
      this.#proposeRevoke(lease);
    }
  }
}
