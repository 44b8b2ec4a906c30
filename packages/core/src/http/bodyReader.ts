import { type, type Type } from "arktype";
import { ApiReplies, type ApiReply } from "./apiReply.js";
import { JsonBody } from "./jsonBody.js";

export const BodyReader = {
  /** The checked body, or the reply that says what is wrong with it and where. */
  read<T>(body: Uint8Array, shape: Type<T>): { value: T } | { reply: ApiReply } {
    const json = JsonBody.read(body);
    if ("reply" in json) return json;
    const checked = shape(json.value) as unknown;
    if (checked instanceof type.errors) {
      const problems = [...checked].map((fault) => ({ path: fault.path.join("."), problem: fault.message }));
      return { reply: ApiReplies.fault(400, "malformed", problems[0]!.problem, { problems }) };
    }
    return { value: checked as T };
  },
};
