import { ApiReplies, type ApiReply } from "./apiReply.js";

export const JsonBody = {
  /** Whatever JSON the body is, or the reply that says that it is none. */
  read(body: Uint8Array): { value: unknown } | { reply: ApiReply } {
    try {
      return { value: JSON.parse(new TextDecoder("utf8", { fatal: true }).decode(body)) as unknown };
    } catch (cause) {
      return { reply: ApiReplies.fault(400, "malformed", `the body is not JSON: ${(cause as Error).message}`) };
    }
  },
};
