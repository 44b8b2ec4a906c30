import { crc32 } from "node:zlib";
import type { Snapshot } from "../gen/cranetrack_pb.js";

/** The fields that are equal in all pieces of one snapshot. */
type SnapshotIdentity = Pick<Snapshot, "term" | "sender" | "index" | "indexTerm" | "size" | "checksum">;

/** The result of adding a piece. `received` is the offset in bytes at which the sender must continue. */
export type PieceOutcome =
  { kind: "taken"; received: number } | { kind: "refused"; received: number } | { kind: "whole"; state: Uint8Array };

/**
 * Assembles a snapshot from its pieces. The snapshot is returned only when it is complete and its checksum matches.
 * Invariant: holds at most one snapshot, of at most `maxBytes`, and of that the first `#received` bytes.
 */
export class SnapshotAssembly {
  /** The default limit of a snapshot's size, in bytes. */
  static readonly maxBytes = 64 * 1024 * 1024;

  readonly #maxBytes: number;
  #identity: SnapshotIdentity | undefined;
  #bytes: Uint8Array = new Uint8Array();
  #received = 0;

  constructor(maxBytes = SnapshotAssembly.maxBytes) {
    this.#maxBytes = maxBytes;
  }

  /** Adds the next piece. A first piece of another snapshot replaces the one in progress. */
  addPiece(piece: Snapshot): PieceOutcome {
    if (!this.#isWellFormed(piece)) return { kind: "refused", received: 0 };
    if (!this.#isSameSnapshot(piece)) {
      if (piece.offset !== 0) return { kind: "refused", received: 0 };
      this.#begin(piece);
    }
    if (piece.offset !== this.#received) return { kind: "refused", received: this.#received };
    this.#bytes.set(piece.state, piece.offset);
    this.#received += piece.state.length;
    if (this.#received < piece.size) return { kind: "taken", received: this.#received };
    const state = this.#bytes;
    this.reset();
    return crc32(state) === piece.checksum ? { kind: "whole", state } : { kind: "refused", received: 0 };
  }

  /** Discards the pieces received so far. */
  reset(): void {
    this.#identity = undefined;
    this.#bytes = new Uint8Array();
    this.#received = 0;
  }

  #isWellFormed({ offset, size, state }: Snapshot): boolean {
    const areNonNegativeIntegers = [offset, size].every((value) => Number.isSafeInteger(value) && value >= 0);
    const isEmptyPiece = state.length === 0 && size > 0;
    return areNonNegativeIntegers && !isEmptyPiece && size <= this.#maxBytes && offset + state.length <= size;
  }

  #isSameSnapshot(piece: SnapshotIdentity): boolean {
    const current = this.#identity;
    if (current === undefined) return false;
    return (
      current.term === piece.term &&
      current.sender === piece.sender &&
      current.index === piece.index &&
      current.indexTerm === piece.indexTerm &&
      current.size === piece.size &&
      current.checksum === piece.checksum
    );
  }

  #begin({ term, sender, index, indexTerm, size, checksum }: SnapshotIdentity): void {
    this.#identity = { term, sender, index, indexTerm, size, checksum };
    this.#bytes = Buffer.allocUnsafeSlow(size);
    this.#received = 0;
  }
}
