import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RaftNode } from "../consensus/raftNode.js";

/**
 * When each lease ends, as the present leader counts it. Expiry itself is a log entry.
 * Invariant: a lease's due is never earlier than its full length after the last renewal confirmed by a
 * majority, or after the present leader was elected.
 */
export class Leases {
  static readonly tickIntervalMs = 25;

  readonly #raft: RaftNode;
  readonly #clock: Clock;
  readonly #revoke: (lease: string) => void;
  readonly #due = new Map<string, number>();
  /** Leases whose expiry is proposed; a renewal can't save them. */
  readonly #ending = new Set<string>();

  constructor(raft: RaftNode, clock: Clock, revoke: (lease: string) => void) {
    this.#raft = raft;
    this.#clock = clock;
    this.#revoke = revoke;
    raft.on("elected", () => this.#begin());
    raft.on("deposed", () => this.#due.clear());
    raft.on("applied", () => this.#follow());
    clock.every(Leases.tickIntervalMs, () => this.#tick());
  }

  /** True where the lease was there to renew. The caller confirms the leader before and answers after. */
  renew(lease: string): boolean {
    const record = this.#raft.metadata.leases.get(lease);
    if (record === undefined || this.#ending.has(lease)) return false;
    this.#due.set(lease, this.#clock.now() + record.length);
    return true;
  }

  /** Milliseconds until a lease may be lost if nobody renews it; 0 where it is none or the leader can't tell. */
  leftOf(lease: string): number {
    return Math.max(0, (this.#due.get(lease) ?? 0) - this.#clock.now());
  }

  #begin(): void {
    this.#due.clear();
    this.#ending.clear();
    for (const [lease, { length }] of this.#raft.metadata.leases) this.#due.set(lease, this.#clock.now() + length);
  }

  #follow(): void {
    const { leases } = this.#raft.metadata;
    if (!this.#raft.isLeader || (leases.size === this.#due.size && this.#ending.size === 0)) return;
    for (const [lease, { length }] of leases)
      if (!this.#due.has(lease)) this.#due.set(lease, this.#clock.now() + length);
    for (const lease of this.#due.keys()) if (!leases.has(lease)) this.#due.delete(lease);
    for (const lease of this.#ending) if (!leases.has(lease)) this.#ending.delete(lease);
  }

  #tick(): void {
    if (!this.#raft.isLeader) return;
    for (const [lease, due] of this.#due) {
      if (this.#clock.now() < due || this.#ending.has(lease)) continue;
      this.#ending.add(lease);
      this.#revoke(lease);
    }
  }
}
