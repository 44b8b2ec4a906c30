import { type } from "arktype";
import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ApiCall } from "@cranetrack/core/http/router.js";
import { ApiReplies, type ApiReply } from "@cranetrack/core/http/apiReply.js";
import { BodyReader } from "@cranetrack/core/http/bodyReader.js";
import type { EdgeParts } from "../edgeParts.js";
import { publishTimeoutMs, publishMessage } from "./publishMessage.js";
import { readOwner } from "../sessions/readOwner.js";

const messageBody = type({
  "+": "reject",
  topic: "string",
  number: "1 <= number.integer <= 9007199254740991",
  payload: "string",
});
/** HTTP status of a refused publish by its code; 409 for all other codes. */
const statusByCode: Record<string, number> = {
  malformed: 400,
  "unknown-topic": 404,
  "not-a-publisher": 403,
  "too-large": 413,
};

/** Handles a publish over HTTP, at the session's owner or by forwarding it there. */
export async function publishCall(edge: EdgeParts, call: ApiCall): Promise<ApiReply> {
  const parsed = BodyReader.read(call.body, messageBody);
  if ("reply" in parsed) return parsed.reply;
  const { topic, number, payload } = parsed.value;
  if (!Configurations.isTopic(topic))
    return ApiReplies.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: "topic", problem: "must be space/name" }],
    });
  const session = edge.sessions.find(call.params[0]!);
  if (session === undefined) return forwardToOwner(edge, call.params[0]!, topic, call);
  const result = await publishMessage(edge, session, topic, number, payload);
  switch (result.outcome) {
    case "accepted":
      return ApiReplies.done({ receipt: "accepted", topic, number, place: result.cursor });
    case "refused":
      return ApiReplies.fault(statusByCode[result.code] ?? 409, result.code, result.reason, {
        details: { receipt: "refused" },
      });
    case "unsure":
      return ApiReplies.unknown(result.reason, result.retryAfterSeconds);
    default:
      return ApiReplies.unavailable(result.reason, result.retryAfterSeconds, result.code ?? "unavailable");
  }
}

/** Forwards a call that arrived at a node other than the session's owner. A call is forwarded at most once. */
async function forwardToOwner(edge: EdgeParts, id: string, topic: string, call: ApiCall): Promise<ApiReply> {
  const owner = call.isForwarded ? undefined : (await readOwner(edge.node.store, id))?.owner;
  if (owner === undefined || owner.node === "" || owner.node === edge.node.rpc.name)
    return ApiReplies.fault(409, "no-link", "this session has no link; open one first", { retryAfterSeconds: 0.3 });
  const timeoutMs = 1.4 * publishTimeoutMs(edge, topic);
  const reply = await edge.router.forwardTo(owner.node, "POST", call.path, call.body, timeoutMs);
  return reply ?? ApiReplies.unknown("the session's owner did not answer; the same number again settles it");
}
