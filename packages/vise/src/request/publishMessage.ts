import { type } from "arktype";
import { Plans } from "@cranetrack/chest/mark/plan.js";
import type { ApiCall } from "@cranetrack/chest/process/router.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/chest/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/chest/request/bodyReader.js";
import type { TopicFault } from "../mark/topicFault.js";
import { Places } from "../mark/place.js";
import type { Session } from "../process/session.js";
import type { ViseParts } from "../process/viseParts.js";

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

/** One publish, from its body to its final receipt. The shard's holder alone judges it. */
export async function publishMessage(vise: ViseParts, call: ApiCall): Promise<ApiReceipt> {
  const { node, sessions } = vise;
  const id = call.params[0]!;
  const read = BodyReader.read(call.body, messageBody);
  if ("receipt" in read) return read.receipt;
  const { topic, number, payload } = read.value;
  if (!Plans.isTopic(topic))
    return ApiReceipts.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: "topic", problem: "must be space/name" }],
    });
  const session = sessions.find(id);
  if (session === undefined) return passOn(vise, id, call);

  const route = node.plan.route(topic);
  if (route === undefined) return unrouted(await vise.planCheck.faultOf(topic));
  const shard = vise.streams.shardOf(route.stream);
  const { holder } = node.shards.find(shard);
  if (holder === "") return ApiReceipts.away("the topic has no holder just now", 0.2);
  if (node.exchange.isMute(holder) && !node.membership.isAlive(holder))
    return ApiReceipts.away("the topic's holder does not answer", 0.5);
  note(session, topic, number, true);
  const publish = {
    shard,
    session: id,
    ownerEpoch: session.epoch,
    spaceBirth: route.spaceBirth,
    number,
    topic,
    payload: Buffer.from(payload),
  };
  const answered = await Promise.race([
    node.exchange.call(holder, { case: "publish", value: publish }, vise.publishDue),
    node.shards.moved(shard, holder, node.parts.clock, vise.publishDue),
  ]);
  if (answered?.case !== "publishReceipt")
    return ApiReceipts.unsure("the topic's holder did not answer; the same number again settles it");
  const receipt = answered.value;
  switch (receipt.outcome) {
    case "accepted":
      note(session, topic, number, false);
      return ApiReceipts.done({ receipt: "accepted", topic, number, place: Places.write(receipt.birth, receipt.seq) });
    case "refused":
      note(session, topic, number, false);
      return ApiReceipts.fault(statuses[receipt.code] ?? 409, receipt.code, receipt.reason, {
        details: { receipt: "refused" },
      });
    case "unsure":
      return ApiReceipts.unsure(receipt.reason, receipt.comeBack);
    default:
      return ApiReceipts.away(
        receipt.reason || "the topic is changing hands",
        receipt.comeBack || 0.5,
        receipt.code || "unavailable",
      );
  }
}

/** The plan this node knows has no such space. */
function unrouted({ code, reason, comeBack }: TopicFault): ApiReceipt {
  if (comeBack !== undefined) return ApiReceipts.away(reason, comeBack);
  return ApiReceipts.fault(statuses[code] ?? 409, code, reason, { details: { receipt: "refused" } });
}

function note(session: Session, topic: string, number: number, isOpen: boolean): void {
  const state = session.numbers.get(topic);
  if (state === undefined || number >= state.number) session.numbers.set(topic, { number, isOpen });
}

/** The call came in at a node that does not own the session. */
async function passOn(vise: ViseParts, id: string, call: ApiCall): Promise<ApiReceipt> {
  const owner = vise.owners.find(id);
  const self = vise.node.exchange.name;
  if (call.isPassed || owner === undefined || owner.node === self)
    return ApiReceipts.fault(409, "no-link", "this session has no link; open one first", { comeBack: 0.3 });
  const receipt = await vise.router.passTo(owner.node, "POST", call.path, call.body, vise.publishDue + 300);
  return receipt ?? ApiReceipts.unsure("the session's owner did not answer; the same number again settles it");
}
