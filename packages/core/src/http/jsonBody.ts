import { ApiReplies, type ApiReply } from "./apiReply.js";

/** Parses JSON request bodies. */
export const JsonBody = {
  /** Returns the parsed JSON, or an error reply if the body is not valid JSON. */
  read(body: Uint8Array): { value: unknown } | { reply: ApiReply } {
    try {
      return { value: JSON.parse(new TextDecoder("utf8", { fatal: true }).decode(body)) as unknown };
    } catch (cause) {
      return { reply: ApiReplies.fault(400, "malformed", `the body is not JSON: ${(cause as Error).message}`) };
    }
  },
};
