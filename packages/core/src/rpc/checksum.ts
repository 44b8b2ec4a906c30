import { crc32 } from "node:zlib";

/** A CRC-32 header in front of bytes, which detects bytes that were altered on the network or on the disk. */
export const Checksum = {
  /** Returns a copy of `bytes` and `tail` behind their checksum. */
  prepend(bytes: Uint8Array, tail?: Uint8Array): Uint8Array {
    const checksummed = Buffer.allocUnsafe(4 + bytes.length + (tail?.length ?? 0));
    checksummed.set(bytes, 4);
    if (tail !== undefined) checksummed.set(tail, 4 + bytes.length);
    checksummed.writeUInt32BE(crc32(checksummed.subarray(4)));
    return checksummed;
  },

  /** Length of the checksum in bytes. */
  headerBytes: 4,

  /** Writes the checksum into the `headerBytes` reserved at the front of `bytes`; returns the same array. */
  fillHeader(bytes: Uint8Array): Uint8Array {
    const view = new DataView(bytes.buffer, bytes.byteOffset);
    view.setUint32(0, crc32(bytes.subarray(Checksum.headerBytes)));
    return bytes;
  },

  /** Returns the bytes behind the checksum; undefined if they do not match it. */
  verify(checksummed: Uint8Array): Uint8Array | undefined {
    if (checksummed.length < 4) return undefined;
    const bytes = checksummed.subarray(4);
    const sum = new DataView(checksummed.buffer, checksummed.byteOffset).getUint32(0);
    return crc32(bytes) === sum ? bytes : undefined;
  },
};
