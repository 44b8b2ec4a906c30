import { crc32 } from "node:zlib";
import type { DiskChange } from "./disk.js";

/** A decoded record; the values are given by their position in bytes from the start of the record. */
export interface ReadRecord {
  /** Rises from record to record in a journal. */
  sequence: number;
  /** The offset of the next record in the decoded bytes. */
  end: number;
  changes: Array<{ key: string; value: { at: number; length: number } | undefined }>;
}

/**
 * The format of one group commit in a journal: a header, then the changes. The header's checksum covers the length,
 * the sequence and all changes, so a partly written record is never accepted.
 */
export const JournalRecord = {
  /** The bytes at the start of every record. */
  magic: Buffer.from("\u0007crj", "latin1"),
  /** The size of a record's header: magic, checksum, length and sequence. */
  headerBytes: 20,
  /** The header of a change: its kind, the length of the key and the length of the value. */
  changeHeaderBytes: 7,

  /** The size of an encoded change, in bytes. */
  changeSize(change: DiskChange): number {
    return (
      JournalRecord.changeHeaderBytes +
      Buffer.byteLength(change.key) +
      ("isRemoved" in change ? 0 : change.value.length)
    );
  },

  /** Encodes a record. */
  encode(sequence: number, changes: readonly DiskChange[]): Buffer {
    const recordSize = changes.reduce(
      (sum, change) => sum + JournalRecord.changeSize(change),
      JournalRecord.headerBytes,
    );
    const bytes = Buffer.allocUnsafe(recordSize);
    JournalRecord.magic.copy(bytes, 0);
    bytes.writeUInt32BE(recordSize - JournalRecord.headerBytes, 8);
    bytes.writeDoubleBE(sequence, 12);
    let position = JournalRecord.headerBytes;
    for (const change of changes) {
      const value = "isRemoved" in change ? undefined : change.value;
      const keyLength = bytes.write(change.key, position + JournalRecord.changeHeaderBytes);
      bytes.writeUInt8(value === undefined ? 0 : 1, position);
      bytes.writeUInt16BE(keyLength, position + 1);
      bytes.writeUInt32BE(value?.length ?? 0, position + 3);
      position += JournalRecord.changeHeaderBytes + keyLength;
      if (value !== undefined) bytes.set(value, position);
      position += value?.length ?? 0;
    }
    bytes.writeUInt32BE(crc32(bytes.subarray(8)), 4);
    return bytes;
  },

  /**
   * Decodes the record at an offset. If the bytes end too early, returns how many the record needs at least; undefined
   * if there is no valid record.
   */
  decode(bytes: Buffer, start: number): ReadRecord | { wants: number } | undefined {
    if (bytes.length - start < JournalRecord.headerBytes) return { wants: JournalRecord.headerBytes };
    if (bytes.compare(JournalRecord.magic, 0, 4, start, start + 4) !== 0) return undefined;
    const changesLength = bytes.readUInt32BE(start + 8);
    const end = start + JournalRecord.headerBytes + changesLength;
    if (bytes.length < end) return { wants: JournalRecord.headerBytes + changesLength };
    if (crc32(bytes.subarray(start + 8, end)) !== bytes.readUInt32BE(start + 4)) return undefined;
    const changes: ReadRecord["changes"] = [];
    let position = start + JournalRecord.headerBytes;
    while (position < end) {
      const keyStart = position + JournalRecord.changeHeaderBytes;
      const valueStart = keyStart + bytes.readUInt16BE(position + 1);
      const valueLength = bytes.readUInt32BE(position + 3);
      const value = bytes[position] === 0 ? undefined : { at: valueStart - start, length: valueLength };
      changes.push({ key: bytes.toString("utf8", keyStart, valueStart), value });
      position = valueStart + valueLength;
    }
    return { sequence: bytes.readDoubleBE(start + 12), end, changes };
  },
};
