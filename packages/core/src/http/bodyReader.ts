import { type, type Type } from "arktype";
import { ApiReplies, type ApiReply } from "./apiReply.js";
import { JsonBody } from "./jsonBody.js";

/** Parses and validates JSON request bodies. */
export const BodyReader = {
  /** Returns the validated body, or an error reply that lists the invalid fields. */
  read<T>(body: Uint8Array, shape: Type<T>): { value: T } | { reply: ApiReply } {
    const json = JsonBody.read(body);
    if ("reply" in json) return json;
    const checked = shape(json.value) as unknown;
    if (checked instanceof type.errors) {
      const problems = [...checked].map((error) => ({ path: error.path.join("."), problem: error.message }));
      return { reply: ApiReplies.fault(400, "malformed", problems[0]!.problem, { problems }) };
    }
    return { value: checked as T };
  },
};
