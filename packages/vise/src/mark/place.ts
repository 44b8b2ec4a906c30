export interface Place {
  birth: string;
  seq: number;
}

/** A client's place in a topic: an opaque string to the client, birth and sequence number to us. */
export const Places = {
  write(birth: string, seq: number): string {
    return `${birth}.${seq}`;
  },

  read(text: unknown): Place | undefined {
    const found = typeof text === "string" ? /^([0-9a-f]{6,40})\.(0|[1-9][0-9]{0,15})$/.exec(text) : null;
    return found === null ? undefined : { birth: found[1]!, seq: Number(found[2]) };
  },
};
