/** The last message read of a stream: its incarnation and sequence number. */
export interface Cursor {
  incarnation: string;
  seq: number;
}

/** Text form of cursors for clients and the store, opaque to clients. It must stay the same in every version. */
export const Cursors = {
  /** Encodes a cursor. */
  write(incarnation: string, seq: number): string {
    return `${incarnation}.${seq}`;
  },

  /** Decodes a cursor; undefined if the text is malformed. */
  read(text: unknown): Cursor | undefined {
    if (typeof text !== "string") return undefined;
    const found = /^([0-9a-f]{1,14}-[0-9a-f]{6,20})\.(0|[1-9][0-9]{0,15})$/.exec(text);
    return found === null ? undefined : { incarnation: found[1]!, seq: Number(found[2]) };
  },
};
