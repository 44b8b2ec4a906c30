import type { Disk } from "./disk.js";

/**
 * What a disk still has room for. Room is given out in steps, so that what frees room, and the state of the system
 * itself, never have to wait for it: publishes are refused first, then log entries of other machines; the rest is for
 * votes, leases, configurations, trims and snapshots.
 */
export class DiskRoom {
  /** From this share of the disk on, logs are rewritten early. */
  static readonly reclaimShare = 0.6;
  /** Above this share of the disk no further publishes are accepted. */
  static readonly maxPublishShare = 0.75;
  /** Above this share of the disk no further entries of shard logs are taken from a leader. */
  static readonly maxReplicationShare = 0.9;

  readonly #disk: Pick<Disk, "fillShare">;

  constructor(disk: Pick<Disk, "fillShare">) {
    this.#disk = disk;
  }

  /** The share of the disk that is in use; 0 without a limit. */
  get share(): number {
    return this.#shareWith(0);
  }

  /** Whether the disk lacks room for further publishes. */
  get isShort(): boolean {
    return this.share > DiskRoom.maxPublishShare;
  }

  /** Whether logs should be rewritten to free room. */
  get shouldReclaim(): boolean {
    return this.share > DiskRoom.reclaimShare;
  }

  /** Whether entries or a snapshot of a shard's log may be taken that add this many bytes; always if they add none. */
  hasReplicationRoom(addedBytes: number): boolean {
    return addedBytes < 0 || this.#shareWith(addedBytes) <= DiskRoom.maxReplicationShare;
  }

  #shareWith(extraBytes: number): number {
    return this.#disk.fillShare?.(extraBytes) ?? 0;
  }
}
