import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Membership } from "@cranetrack/core/membership/membership.js";

/**
 * Which disks joined lately, as this process has seen it. A disk that appears about when a replica falls silent is
 * taken for the replica's successor, so that the repair need not wait until the silence is long. Only a hint about
 * when to start a repair: no step of it is safe because of this.
 */
export class RecentJoins {
  /** What a starting process hears of in this time was there before it. */
  static readonly startupMs = 3000;
  /** A successor may be started so long before the replica that it replaces falls silent. */
  static readonly headStartMs = 10_000;

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

  /** Whether the disk joined after a silence that began so many milliseconds ago, or shortly before. */
  isSuccessor(disk: string, unresponsiveMs: number): boolean {
    const joinedAt = this.#joinedAt.get(disk);
    return joinedAt !== undefined && joinedAt > this.#clock.now() - unresponsiveMs - RecentJoins.headStartMs;
  }

  #recordJoins(): void {
    const now = this.#clock.now();
    const isStartingUp = now - this.#startedAt < RecentJoins.startupMs;
    const disks = new Set(this.#membership.all().map((member) => member.logDisk));
    for (const disk of disks)
      if (disk !== "" && !this.#joinedAt.has(disk)) this.#joinedAt.set(disk, isStartingUp ? -Infinity : now);
    for (const disk of this.#joinedAt.keys()) if (!disks.has(disk)) this.#joinedAt.delete(disk);
  }
}
