import { type, type Type } from "arktype";
import { ApiReceipts, type ApiReceipt } from "./apiReceipt.js";

export const BodyReader = {
  /** The checked body, or the receipt that says what is wrong with it and where. */
  read<T>(body: Uint8Array, shape: Type<T>): { value: T } | { receipt: ApiReceipt } {
    const json = BodyReader.json(body);
    if ("receipt" in json) return json;
    const checked = shape(json.value) as unknown;
    if (checked instanceof type.errors) {
      const problems = [...checked].map((fault) => ({ path: fault.path.join("."), problem: fault.message }));
      return { receipt: ApiReceipts.fault(400, "malformed", problems[0]!.problem, { problems }) };
    }
    return { value: checked as T };
  },

  json(body: Uint8Array): { value: unknown } | { receipt: ApiReceipt } {
    try {
      return { value: JSON.parse(new TextDecoder("utf8", { fatal: true }).decode(body)) as unknown };
    } catch (cause) {
      return { receipt: ApiReceipts.fault(400, "malformed", `the body is not JSON: ${(cause as Error).message}`) };
    }
  },
};
