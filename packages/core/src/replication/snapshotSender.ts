import { crc32 } from "node:zlib";

/** An encoded snapshot, shared by all transfers of it: the pieces are views of the same bytes. */
export interface SnapshotImage {
  readonly index: number;
  readonly indexTerm: number;
  readonly state: Uint8Array;
  readonly checksum: number;
}

/** A part of a snapshot; `offset` is its position in bytes. */
export interface SnapshotPiece {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/**
 * The transfer of one snapshot to one follower, one piece at a time. It continues with the same snapshot even if the
 * log is compacted in the meantime; otherwise the transfer to a slow follower would restart again and again.
 */
export class SnapshotSender {
  /** The largest size of a piece, in bytes. */
  static readonly pieceBytes = 256 * 1024;
  /** Delay before an unanswered piece is sent again, in milliseconds; doubled each time up to the maximum. */
  static readonly firstRetryDelayMs = 400;
  static readonly maxRetryDelayMs = 3200;

  readonly image: SnapshotImage;
  #acknowledgedBytes = 0;
  #sentAt = -Infinity;
  #retryDelayMs = SnapshotSender.firstRetryDelayMs;
  /** Whether the piece at the current offset has not been sent yet. */
  #isUnsent = true;

  constructor(image: SnapshotImage) {
    this.image = image;
  }

  /** The log's current snapshot with its checksum. */
  static imageOf(log: { snapshotIndex: number; snapshotTerm: number; snapshot: Uint8Array }): SnapshotImage {
    return {
      index: log.snapshotIndex,
      indexTerm: log.snapshotTerm,
      state: log.snapshot,
      checksum: crc32(log.snapshot),
    };
  }

  /** The piece to send now; undefined until the retry delay of an unanswered piece is over. */
  nextPiece(now: number): SnapshotPiece | undefined {
    if (!this.#isUnsent && now - this.#sentAt < this.#retryDelayMs) return undefined;
    this.#retryDelayMs = this.#isUnsent
      ? SnapshotSender.firstRetryDelayMs
      : Math.min(this.#retryDelayMs * 2, SnapshotSender.maxRetryDelayMs);
    this.#isUnsent = false;
    this.#sentAt = now;
    const end = Math.min(this.#acknowledgedBytes + SnapshotSender.pieceBytes, this.image.state.length);
    return { offset: this.#acknowledgedBytes, bytes: this.image.state.subarray(this.#acknowledgedBytes, end) };
  }

  /**
   * Records that the follower has the first `received` bytes of the snapshot. True if that is progress, so that the
   * next piece may be sent at once; missing bytes are sent again when the retry is due.
   */
  acknowledge(index: number, received: number): boolean {
    const isThisSnapshot = index === this.image.index && Number.isSafeInteger(received);
    if (!isThisSnapshot || received < 0 || received > this.image.state.length) return false;
    const isProgress = received > this.#acknowledgedBytes;
    this.#acknowledgedBytes = received;
    this.#isUnsent ||= isProgress;
    return isProgress;
  }
}
