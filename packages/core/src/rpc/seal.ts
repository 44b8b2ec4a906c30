import { crc32 } from "node:zlib";

/** Bytes behind their checksum: what was altered on the way, or on the disk, is not taken for the real thing. */
export const Seal = {
  close(bytes: Uint8Array, more?: Uint8Array): Uint8Array {
    const sealed = Buffer.allocUnsafe(4 + bytes.length + (more?.length ?? 0));
    sealed.set(bytes, 4);
    if (more !== undefined) sealed.set(more, 4 + bytes.length);
    sealed.writeUInt32BE(crc32(sealed.subarray(4)));
    return sealed;
  },

  open(sealed: Uint8Array): Uint8Array | undefined {
    if (sealed.length < 4) return undefined;
    const bytes = sealed.subarray(4);
    const sum = new DataView(sealed.buffer, sealed.byteOffset).getUint32(0);
    return crc32(bytes) === sum ? bytes : undefined;
  },
};
