import { type } from "arktype";
import { JsonValue } from "./jsonValue.js";

/** The plan's mark, and for each space the mark of the plan in which it appeared, or appeared again. */
const shape = type({ mark: "number", spaces: { "[string]": "number" } });

export type BirthsRecord = typeof shape.infer;

/** The key beside the plan that says when each of its spaces was born; written with the plan, in one step. */
export const BirthsKey = {
  name: "plan/births",

  write(record: BirthsRecord): Uint8Array {
    return JsonValue.write(record);
  },

  read(value: Uint8Array): BirthsRecord | undefined {
    return JsonValue.read(value, shape);
  },

  /** A space keeps its birth from plan to plan; one that was not there before is born with this plan. */
  next(before: BirthsRecord | undefined, plan: { mark: number; spaces: string[] }): BirthsRecord {
    const births = plan.spaces.map((name) => [name, before?.spaces[name] ?? plan.mark] as const);
    return { mark: plan.mark, spaces: Object.fromEntries(births) };
  },
};
