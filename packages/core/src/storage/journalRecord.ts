import { crc32 } from "node:zlib";
import type { DiskChange } from "./disk.js";

export interface ReadRecord {
  sequence: number;
  /** Where the next record begins. */
  end: number;
  changes: Array<{ key: string; value: { at: number; length: number } | undefined }>;
}

/**
 * One group commit in a journal: a head, then its changes. The head's checksum covers the length, the
 * sequence and all changes, so that a record is whole or not believed at all.
 */
export const JournalRecord = {
  magic: Buffer.from("\u0007crj", "latin1"),
  headBytes: 20,
  /** A key's length, its kind and a value's length. */
  changeBytes: 7,

  sizeOf(change: DiskChange): number {
    return (
      JournalRecord.changeBytes + Buffer.byteLength(change.key) + ("isRemoved" in change ? 0 : change.value.length)
    );
  },

  encode(sequence: number, changes: readonly DiskChange[]): Buffer {
    const size = changes.reduce((sum, change) => sum + JournalRecord.sizeOf(change), JournalRecord.headBytes);
    const bytes = Buffer.allocUnsafe(size);
    JournalRecord.magic.copy(bytes, 0);
    bytes.writeUInt32BE(size - JournalRecord.headBytes, 8);
    bytes.writeDoubleBE(sequence, 12);
    let at = JournalRecord.headBytes;
    for (const change of changes) {
      const value = "isRemoved" in change ? undefined : change.value;
      const keyLength = bytes.write(change.key, at + JournalRecord.changeBytes);
      bytes.writeUInt8(value === undefined ? 0 : 1, at);
      bytes.writeUInt16BE(keyLength, at + 1);
      bytes.writeUInt32BE(value?.length ?? 0, at + 3);
      at += JournalRecord.changeBytes + keyLength;
      if (value !== undefined) bytes.set(value, at);
      at += value?.length ?? 0;
    }
    bytes.writeUInt32BE(crc32(bytes.subarray(8)), 4);
    return bytes;
  },

  /** The record at a place in the bytes; how many bytes it wants where there are too few; else undefined. */
  decode(bytes: Buffer, start: number): ReadRecord | { wants: number } | undefined {
    if (bytes.length - start < JournalRecord.headBytes) return { wants: JournalRecord.headBytes };
    if (bytes.compare(JournalRecord.magic, 0, 4, start, start + 4) !== 0) return undefined;
    const length = bytes.readUInt32BE(start + 8);
    const end = start + JournalRecord.headBytes + length;
    if (bytes.length < end) return { wants: JournalRecord.headBytes + length };
    if (crc32(bytes.subarray(start + 8, end)) !== bytes.readUInt32BE(start + 4)) return undefined;
    const changes: ReadRecord["changes"] = [];
    let at = start + JournalRecord.headBytes;
    while (at < end) {
      const keyAt = at + JournalRecord.changeBytes;
      const valueAt = keyAt + bytes.readUInt16BE(at + 1);
      const valueLength = bytes.readUInt32BE(at + 3);
      const value = bytes[at] === 0 ? undefined : { at: valueAt - start, length: valueLength };
      changes.push({ key: bytes.toString("utf8", keyAt, valueAt), value });
      at = valueAt + valueLength;
    }
    return { sequence: bytes.readDoubleBE(start + 12), end, changes };
  },
};
