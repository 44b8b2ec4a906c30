/** The operators' wish to have a machine emptied. */
export const DrainKey = {
  of(machine: string): string {
    return `machines/${machine}/emptying`;
  },

  write(rampSeconds?: number): Uint8Array {
    return Buffer.from(JSON.stringify({ rampSeconds }));
  },

  /** The machine that a key is about, if it is such a key. */
  machineOf(key: string): string | undefined {
    return /^machines\/([^/]+)\/emptying$/.exec(key)?.[1];
  },
};
