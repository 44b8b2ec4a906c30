import { Plans } from "../configuration/configuration.js";

/** What a plan's spaces are to those who need not know their contracts. */
export interface SpaceOutline {
  prefix: string;
  /** The whole space is one stream. */
  isWhole: boolean;
}
export interface PlanOutline {
  mark: number;
  spaces: SpaceOutline[];
}
interface Raw {
  mark: unknown;
  spaces: Array<{ name: string; prefix?: string; program?: Array<{ owe?: { order?: unknown } }> }>;
}

/** The key that holds the plan in force, byte for byte as it was sent. */
export const PlanKey = {
  name: "plan",

  /** The mark and the spaces, whatever else this version can't read; undefined where there are none. */
  outline(value: Uint8Array): PlanOutline | undefined {
    try {
      const { mark, spaces } = JSON.parse(Buffer.from(value).toString()) as Raw;
      const outlines = spaces.map((space) => {
        const order = space.program?.[0]?.owe?.order;
        const isGood = typeof space.name === "string" && ["undefined", "string"].includes(typeof space.prefix);
        return isGood ? { prefix: Plans.prefixOf(space), isWhole: order === "space" || order === "one" } : undefined;
      });
      const isGood = Number.isSafeInteger(mark) && outlines.every((one) => one !== undefined);
      return isGood ? { mark: mark as number, spaces: outlines as SpaceOutline[] } : undefined;
    } catch {
      return undefined;
    }
  },

  markOf(value: Uint8Array): number {
    return PlanKey.outline(value)?.mark ?? 0;
  },
};
