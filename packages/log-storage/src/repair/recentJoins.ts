import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Membership } from "@cranetrack/core/membership/membership.js";

/**
 * Which disks joined the cluster recently, as this process has seen it. A disk that appears about when a replica stops
 * responding is assumed to replace that replica, so that the repair can start earlier. This is only a hint about when
 * to start a repair: no step of a repair relies on it to be safe.
 */
export class RecentJoins {
  /** Disks that a process learns of in this time after its start are assumed to have joined before it started. */
  static readonly startupGraceMs = 3000;
  /** A replacement disk may join at most this long before the replica that it replaces stops responding. */
  static readonly maxJoinLeadMs = 10_000;

  readonly #membership: Membership;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #joinedAt = new Map<string, number>();

  constructor(membership: Membership, clock: Clock) {
    this.#membership = membership;
    this.#clock = clock;
    this.#startedAt = clock.now();
    membership.on("changed", () => this.#recordJoins());
    this.#recordJoins();
  }

  /** Whether the disk joined after a replica stopped responding `unresponsiveMs` ago, or shortly before that. */
  isLikelyReplacement(disk: string, unresponsiveMs: number): boolean {
    const joinedAt = this.#joinedAt.get(disk);
    return joinedAt !== undefined && joinedAt > this.#clock.now() - unresponsiveMs - RecentJoins.maxJoinLeadMs;
  }

  #recordJoins(): void {
    const now = this.#clock.now();
    const isStartingUp = now - this.#startedAt < RecentJoins.startupGraceMs;
    const disks = new Set(this.#membership.all().map((member) => member.logDisk));
    for (const disk of disks)
      if (disk !== "" && !this.#joinedAt.has(disk)) this.#joinedAt.set(disk, isStartingUp ? -Infinity : now);
    for (const disk of this.#joinedAt.keys()) if (!disks.has(disk)) this.#joinedAt.delete(disk);
  }
}
