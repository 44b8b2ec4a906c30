/** The operators' wish to have a machine emptied. */
export const DrainKey = {
  /** Written with every wish: who judged by the wishes before has to look again. */
  turn: "drains",

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
