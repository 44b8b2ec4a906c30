/** The key of an operator's request to drain a machine; its stored name is that of earlier versions. */
export const DrainKey = {
  /** Written with every request: a decision that was made by the requests before has to be made again. */
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
