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
const statuses: Record<string, number> = {
  malformed: 400,
  "unknown-topic": 404,
  "not-a-publisher": 403,
  "too-large": 413,
};

/** A publish over HTTP, from its body to its reply. */
export async function publishCall(edge: EdgeParts, call: ApiCall): Promise<ApiReply> {
  const read = BodyReader.read(call.body, messageBody);
  if ("reply" in read) return read.reply;
  const { topic, number, payload } = read.value;
  if (!Configurations.isTopic(topic))
    return ApiReplies.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: "topic", problem: "must be space/name" }],
    });
  const session = edge.sessions.find(call.params[0]!);
  if (session === undefined) return forwardToOwner(edge, call.params[0]!, topic, call);
  const answer = await publishMessage(edge, session, topic, number, payload);
  switch (answer.outcome) {
    case "accepted":
      return ApiReplies.done({ receipt: "accepted", topic, number, place: answer.cursor });
    case "refused":
      return ApiReplies.fault(statuses[answer.code] ?? 409, answer.code, answer.reason, {
        details: { receipt: "refused" },
      });
    case "unsure":
      return ApiReplies.unknown(answer.reason, answer.retryAfterSeconds);
    default:
      return ApiReplies.unavailable(answer.reason, answer.retryAfterSeconds, answer.code ?? "unavailable");
  }
}

/** The call came in at a node that does not own the session: the owner carries it out. */
async function forwardToOwner(edge: EdgeParts, id: string, topic: string, call: ApiCall): Promise<ApiReply> {
  const owner = call.isForwarded ? undefined : (await readOwner(edge.node.store, id))?.owner;
  if (owner === undefined || owner.node === "" || owner.node === edge.node.rpc.name)
    return ApiReplies.fault(409, "no-link", "this session has no link; open one first", { retryAfterSeconds: 0.3 });
  const timeoutMs = 1.4 * publishTimeoutMs(edge, topic);
  const reply = await edge.router.forwardTo(owner.node, "POST", call.path, call.body, timeoutMs);
  return reply ?? ApiReplies.unknown("the session's owner did not answer; the same number again settles it");
}
