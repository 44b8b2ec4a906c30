import type { MessageInitShape } from "@bufbuild/protobuf";
import { type } from "arktype";
import type { PublishReceipt, PublishSchema } from "@cranetrack/chest/gen/cranetrack_pb.js";
import { Plans } from "@cranetrack/chest/mark/plan.js";
import type { ApiCall } from "@cranetrack/chest/process/router.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/chest/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/chest/request/bodyReader.js";
import type { TopicFault } from "../mark/topicFault.js";
import { Places } from "../mark/place.js";
import type { Session } from "../process/session.js";
import type { ViseParts } from "../process/viseParts.js";

/** How long a free shard is waited for, and a holder that does not serve yet. */
const claimMs = 300;
const againMs = 40;

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
  if (!(await isHeld(vise, shard))) return ApiReceipts.away("the topic has no holder just now", 0.1);
  note(session, topic, number, true);
  const { spaceBirth } = route;
  const publish = { shard, session: id, ownerEpoch: session.epoch, spaceBirth, number, topic };
  const answered = await atHolder(vise, shard, { ...publish, payload: Buffer.from(payload) });
  if (answered === "mute") return ApiReceipts.away("the topic's holder does not answer", 0.2);
  if (answered === undefined)
    return ApiReceipts.unsure("the topic's holder did not answer; the same number again settles it", 0.2);
  const receipt = answered;
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

/** A shard that has just become free is claimed in a moment. */
async function isHeld(vise: ViseParts, shard: number): Promise<boolean> {
  const { shards, parts } = vise.node;
  if (shards.find(shard).holder === "") await shards.moved(shard, "", parts.clock, claimMs);
  return shards.find(shard).holder !== "";
}

/**
 * Hands a publish to the shard's holder, and to the next one where the shard changes hands meanwhile: its number
 * makes it the same message to both. Undefined where nobody answered; "mute" where nothing was handed over.
 */
async function atHolder(
  vise: ViseParts,
  shard: number,
  publish: MessageInitShape<typeof PublishSchema>,
): Promise<PublishReceipt | "mute" | undefined> {
  const { exchange, membership, shards, parts } = vise.node;
  const end = parts.clock.now() + vise.publishDue;
  let isOpen = false;
  for (let left: number = vise.publishDue; left > 0; left = end - parts.clock.now()) {
    const { holder } = shards.find(shard);
    if (exchange.isMute(holder) && !membership.isAlive(holder)) return isOpen ? undefined : "mute";
    const body = await Promise.race([
      exchange.call(holder, { case: "publish", value: publish }, left),
      shards.moved(shard, holder, parts.clock, left),
    ]);
    const receipt = body?.case === "publishReceipt" ? body.value : undefined;
    // Behind a try that nobody answered only what the log says for good is an answer to both.
    const isFinal =
      receipt?.outcome === "accepted" || (receipt?.outcome === "refused" && receipt.code !== "unknown-topic");
    if (isFinal || (receipt !== undefined && !isOpen && receipt.reason !== "")) return receipt;
    if (receipt === undefined) isOpen = true;
    const isMoved = shards.find(shard).holder !== holder;
    if (receipt === undefined && !isMoved) return undefined;
    if (!(await isHeld(vise, shard))) return isOpen ? undefined : receipt;
    // Whoever has just claimed it does not serve yet.
    if (!isMoved) await new Promise<void>((resolve) => void parts.clock.once(againMs, resolve));
  }
  return undefined;
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
