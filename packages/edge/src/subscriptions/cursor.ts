/** The last message read of a stream: its incarnation and sequence number. */
export interface Cursor {
  incarnation: string;
  seq: number;
}

/** A cursor as clients and the store have it: an opaque text, the same byte for byte in every version. */
export const Cursors = {
  write(incarnation: string, seq: number): string {
    return `${incarnation}.${seq}`;
  },

  read(text: unknown): Cursor | undefined {
    if (typeof text !== "string") return undefined;
    const found = /^([0-9a-f]{1,14}-[0-9a-f]{6,20})\.(0|[1-9][0-9]{0,15})$/.exec(text);
    return found === null ? undefined : { incarnation: found[1]!, seq: Number(found[2]) };
  },
};
