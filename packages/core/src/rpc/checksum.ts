import { crc32 } from "node:zlib";

/** Bytes behind their checksum: what was altered on the way, or on the disk, is not taken for the real thing. */
export const Checksum = {
  prepend(bytes: Uint8Array, more?: Uint8Array): Uint8Array {
    const checksummed = Buffer.allocUnsafe(4 + bytes.length + (more?.length ?? 0));
    checksummed.set(bytes, 4);
    if (more !== undefined) checksummed.set(more, 4 + bytes.length);
    checksummed.writeUInt32BE(crc32(checksummed.subarray(4)));
    return checksummed;
  },

  /** Bytes in front of what is checked. */
  headerBytes: 4,

  /** Writes the checksum into the header that was left in front of the bytes; returns the same bytes. */
  seal(bytes: Uint8Array): Uint8Array {
    const view = new DataView(bytes.buffer, bytes.byteOffset);
    view.setUint32(0, crc32(bytes.subarray(Checksum.headerBytes)));
    return bytes;
  },

  verify(checksummed: Uint8Array): Uint8Array | undefined {
    if (checksummed.length < 4) return undefined;
    const bytes = checksummed.subarray(4);
    const sum = new DataView(checksummed.buffer, checksummed.byteOffset).getUint32(0);
    return crc32(bytes) === sum ? bytes : undefined;
  },
};
