import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { DiskRoom } from "@cranetrack/core/storage/diskRoom.js";
import type { Replica } from "./replica.js";

/**
 * Frees room on a disk that fills up. What a trim removes stays on the disk until the log is rewritten, which happens
 * after a certain amount of new entries; where none are accepted for lack of room, it would never happen. A log that is
 * led here is also rewritten for a replica whose disk has no room for the entries: the snapshot may be smaller.
 * Invariant: at most one log is rewritten at a time, because that needs room itself.
 */
export class RoomRecovery {
  /** Interval in ms at which the disk is checked. */
  static readonly intervalMs = 500;
  /** Rewriting a log that frees fewer bytes isn't worth it. */
  static readonly minReclaimedBytes = 16 * 1024;
  /** Rewriting a log that frees a smaller share of what it takes on the disk isn't worth it. */
  static readonly minReclaimedShare = 0.2;

  readonly #log: Pick<LogBuffer, "note" | "warn">;
  readonly #room: DiskRoom;
  readonly #replicas: readonly Replica[];
  #isRewriting = false;
  #wasShort = false;

  constructor(log: Pick<LogBuffer, "note" | "warn">, room: DiskRoom, replicas: readonly Replica[]) {
    this.#log = log;
    this.#room = room;
    this.#replicas = replicas;
  }

  /** Rewrites the log that frees most, if room is needed; tells when publishes are refused and accepted again. */
  tick(): void {
    this.#reportChange();
    if (this.#isRewriting) return;
    const { shouldReclaim } = this.#room;
    const worthwhile = this.#replicas
      .filter(({ replicator }) => shouldReclaim || replicator?.hasReplicaOutOfRoom === true)
      .map((replica) => ({ replica, bytes: replica.reclaimableBytes }))
      .filter(({ replica, bytes }) => RoomRecovery.#isWorthwhile(replica, bytes))
      .sort((one, other) => other.bytes - one.bytes);
    if (worthwhile[0] !== undefined) void this.#rewrite(worthwhile[0].replica);
  }

  async #rewrite(replica: Replica): Promise<void> {
    this.#isRewriting = true;
    await replica.reclaim();
    this.#isRewriting = false;
  }

  #reportChange(): void {
    const { isShort, share } = this.#room;
    if (isShort === this.#wasShort) return;
    this.#wasShort = isShort;
    const percent = Math.round(100 * share);
    if (isShort) this.#log.warn("the disk is nearly full: publishes of kept topics are refused", { percent });
    else this.#log.note("the disk has room again: publishes are accepted", { percent });
  }

  static #isWorthwhile({ log }: Replica, reclaimableBytes: number): boolean {
    return (
      reclaimableBytes >= RoomRecovery.minReclaimedBytes &&
      reclaimableBytes >= RoomRecovery.minReclaimedShare * log.storedBytes
    );
  }
}
