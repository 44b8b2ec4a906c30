import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Membership } from "@cranetrack/core/membership/membership.js";

/**
 * Which disks joined lately, as this process has seen it. A disk that appears about when a replica falls silent is
 * taken for the replica's successor, so that the repair need not wait until the silence is long. Only a hint about
 * when to start a repair: no step of it is safe because of this.
 */
export class Newcomers {
  /** What a starting process hears of in this time was there before it. */
  static readonly settlingMs = 3000;
  /** A successor may be started so long before the replica that it replaces falls silent. */
  static readonly earlyMs = 10_000;

  readonly #membership: Membership;
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #seenAt = new Map<string, number>();

  constructor(membership: Membership, clock: Clock) {
    this.#membership = membership;
    this.#clock = clock;
    this.#startedAt = clock.now();
    membership.on("changed", () => this.#look());
    this.#look();
  }

  /** Whether the disk joined after a silence that began so many milliseconds ago, or shortly before. */
  isSuccessor(disk: string, silentMs: number): boolean {
    const seenAt = this.#seenAt.get(disk);
    return seenAt !== undefined && seenAt > this.#clock.now() - silentMs - Newcomers.earlyMs;
  }

  #look(): void {
    const now = this.#clock.now();
    const isSettling = now - this.#startedAt < Newcomers.settlingMs;
    const disks = new Set(this.#membership.all().map((member) => member.logDisk));
    for (const disk of disks)
      if (disk !== "" && !this.#seenAt.has(disk)) this.#seenAt.set(disk, isSettling ? -Infinity : now);
    for (const disk of this.#seenAt.keys()) if (!disks.has(disk)) this.#seenAt.delete(disk);
  }
}
