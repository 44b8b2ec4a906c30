/** The key of an operator's request to drain a machine. Stored names date from earlier releases and must stay. */
export const DrainKey = {
  /** A key written with every request; if its revision changed, a decision based on earlier requests is stale. */
  requestsKey: "drains",

  of(machine: string): string {
    return `machines/${machine}/emptying`;
  },

  /** The stored value; `rampSeconds` is the time over which the machine is drained. */
  write(rampSeconds?: number): Uint8Array {
    return Buffer.from(JSON.stringify({ rampSeconds }));
  },

  /** The machine in a drain key; undefined if the key is of another kind. */
  machineOf(key: string): string | undefined {
    return /^machines\/([^/]+)\/emptying$/.exec(key)?.[1];
  },
};
