import { crc32 } from "node:zlib";

/** A snapshot as all followers that need it get it: encoded once, its pieces are views of the same bytes. */
export interface SnapshotImage {
  readonly index: number;
  readonly indexTerm: number;
  readonly state: Uint8Array;
  readonly checksum: number;
}

export interface SnapshotPiece {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/**
 * One snapshot on its way to one follower, a piece at a time. It stays the same until the follower has all of it,
 * also when the log is compacted meanwhile, so that a slow follower is not begun with again and again.
 */
export class SnapshotSender {
  static readonly pieceBytes = 256 * 1024;
  /** After how long an unanswered piece is sent again; doubled each time, up to the most. */
  static readonly firstRetryMs = 400;
  static readonly maxRetryMs = 3200;

  readonly image: SnapshotImage;
  #offset = 0;
  #sentAt = -Infinity;
  #retryMs = SnapshotSender.firstRetryMs;
  #isNew = true;

  constructor(image: SnapshotImage) {
    this.image = image;
  }

  static imageOf(log: { snapshotIndex: number; snapshotTerm: number; snapshot: Uint8Array }): SnapshotImage {
    return {
      index: log.snapshotIndex,
      indexTerm: log.snapshotTerm,
      state: log.snapshot,
      checksum: crc32(log.snapshot),
    };
  }

  /** The piece to be sent now; undefined while an answer to the last one is still waited for. */
  next(now: number): SnapshotPiece | undefined {
    if (!this.#isNew && now - this.#sentAt < this.#retryMs) return undefined;
    this.#retryMs = this.#isNew ? SnapshotSender.firstRetryMs : Math.min(this.#retryMs * 2, SnapshotSender.maxRetryMs);
    this.#isNew = false;
    this.#sentAt = now;
    const end = Math.min(this.#offset + SnapshotSender.pieceBytes, this.image.state.length);
    return { offset: this.#offset, bytes: this.image.state.subarray(this.#offset, end) };
  }

  /**
   * The follower has the first bytes of a snapshot. True where that is progress, and the next piece may go at once;
   * a follower that has fewer than were sent is sent them when the retry is due.
   */
  acknowledge(index: number, received: number): boolean {
    const isOurs = index === this.image.index && Number.isSafeInteger(received);
    if (!isOurs || received < 0 || received > this.image.state.length) return false;
    const isProgress = received > this.#offset;
    this.#offset = received;
    this.#isNew ||= isProgress;
    return isProgress;
  }
}
