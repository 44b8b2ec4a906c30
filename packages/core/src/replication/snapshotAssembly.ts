import { crc32 } from "node:zlib";
import type { Snapshot } from "../gen/cranetrack_pb.js";

type Identity = Pick<Snapshot, "term" | "sender" | "index" | "indexTerm" | "size" | "checksum">;

/** What became of a piece. `received` says from which byte on the sender is to go on. */
export type PieceOutcome =
  { kind: "taken"; received: number } | { kind: "refused"; received: number } | { kind: "whole"; state: Uint8Array };

/**
 * Puts the pieces of one snapshot together. Nothing of it is used before all of it is there and has its checksum.
 * Invariant: holds at most one snapshot, of at most `mostBytes`, and of it the first `received` bytes.
 */
export class SnapshotAssembly {
  static readonly maxBytes = 64 * 1024 * 1024;

  readonly #maxBytes: number;
  #of: Identity | undefined;
  #bytes: Uint8Array = new Uint8Array();
  #received = 0;

  constructor(maxBytes = SnapshotAssembly.maxBytes) {
    this.#maxBytes = maxBytes;
  }

  take(piece: Snapshot): PieceOutcome {
    if (!this.#isSane(piece)) return { kind: "refused", received: 0 };
    if (!this.#isOfThis(piece)) {
      if (piece.offset !== 0) return { kind: "refused", received: 0 };
      this.#begin(piece);
    }
    if (piece.offset !== this.#received) return { kind: "refused", received: this.#received };
    this.#bytes.set(piece.state, piece.offset);
    this.#received += piece.state.length;
    if (this.#received < piece.size) return { kind: "taken", received: this.#received };
    const state = this.#bytes;
    this.drop();
    return crc32(state) === piece.checksum ? { kind: "whole", state } : { kind: "refused", received: 0 };
  }

  /** Lets go of what was put together so far. */
  drop(): void {
    this.#of = undefined;
    this.#bytes = new Uint8Array();
    this.#received = 0;
  }

  #isSane({ offset, size, state }: Snapshot): boolean {
    const areCounts = [offset, size].every((count) => Number.isSafeInteger(count) && count >= 0);
    const isEmpty = state.length === 0 && size > 0;
    return areCounts && !isEmpty && size <= this.#maxBytes && offset + state.length <= size;
  }

  #isOfThis(piece: Identity): boolean {
    const of = this.#of;
    if (of === undefined) return false;
    return (
      of.term === piece.term &&
      of.sender === piece.sender &&
      of.index === piece.index &&
      of.indexTerm === piece.indexTerm &&
      of.size === piece.size &&
      of.checksum === piece.checksum
    );
  }

  #begin({ term, sender, index, indexTerm, size, checksum }: Identity): void {
    this.#of = { term, sender, index, indexTerm, size, checksum };
    this.#bytes = Buffer.allocUnsafeSlow(size);
    this.#received = 0;
  }
}
