/** The key that holds the plan in force, byte for byte as it was sent. */
export const PlanKey = {
  name: "plan",

  /** The mark and the spaces' names, whatever else this version can't read; undefined where there are none. */
  outline(value: Uint8Array): { mark: number; spaces: string[] } | undefined {
    try {
      const read = JSON.parse(Buffer.from(value).toString()) as { mark: unknown; spaces: Array<{ name: unknown }> };
      const spaces = read.spaces.map(({ name }) => name);
      const isGood = Number.isSafeInteger(read.mark) && spaces.every((name) => typeof name === "string");
      return isGood ? { mark: read.mark as number, spaces: spaces as string[] } : undefined;
    } catch {
      return undefined;
    }
  },

  markOf(value: Uint8Array): number {
    return PlanKey.outline(value)?.mark ?? 0;
  },
};
