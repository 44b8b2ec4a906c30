import type { MessageInitShape } from "@bufbuild/protobuf";
import { type } from "arktype";
import type { PublishReceipt, PublishSchema } from "@cranetrack/chest/gen/cranetrack_pb.js";
import { Plans } from "@cranetrack/chest/mark/plan.js";
import type { ApiCall } from "@cranetrack/chest/process/router.js";
import { ApiReceipts, type ApiReceipt } from "@cranetrack/chest/request/apiReceipt.js";
import { BodyReader } from "@cranetrack/chest/request/bodyReader.js";
import { Places } from "../mark/place.js";
import type { Session } from "../process/session.js";
import type { ViseParts } from "../process/viseParts.js";
import { readOwner } from "./readOwner.js";

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

/** What became of a publish; `away` and `refused` promise that it was not done and never will be. */
export type PublishOutcome =
  | { outcome: "accepted"; place: string }
  | { outcome: "refused"; code: string; reason: string }
  | { outcome: "away"; reason: string; comeBack: number; code?: string }
  | { outcome: "unsure"; reason: string; comeBack: number };

/** A publish over HTTP, from its body to its receipt. */
export async function publishCall(vise: ViseParts, call: ApiCall): Promise<ApiReceipt> {
  const read = BodyReader.read(call.body, messageBody);
  if ("receipt" in read) return read.receipt;
  const { topic, number, payload } = read.value;
  if (!Plans.isTopic(topic))
    return ApiReceipts.fault(400, "malformed", "a topic is space/name", {
      problems: [{ path: "topic", problem: "must be space/name" }],
    });
  const session = vise.sessions.find(call.params[0]!);
  if (session === undefined) return passOn(vise, call.params[0]!, call);
  const answer = await publishMessage(vise, session, topic, number, payload);
  switch (answer.outcome) {
    case "accepted":
      return ApiReceipts.done({ receipt: "accepted", topic, number, place: answer.place });
    case "refused":
      return ApiReceipts.fault(statuses[answer.code] ?? 409, answer.code, answer.reason, {
        details: { receipt: "refused" },
      });
    case "unsure":
      return ApiReceipts.unsure(answer.reason, answer.comeBack);
    default:
      return ApiReceipts.away(answer.reason, answer.comeBack, answer.code ?? "unavailable");
  }
}

/** One publish of an owned session, to its final answer. The shard's holder alone judges it. */
export async function publishMessage(
  vise: ViseParts,
  session: Session,
  topic: string,
  number: number,
  payload: string,
): Promise<PublishOutcome> {
  const { node } = vise;
  // What an earlier try may have handed over can't be promised undone.
  const isDoubtful = !session.isWhole || session.numbers.isOpen(topic, number);
  const givenUp = (reason: string, comeBack: number, code?: string): PublishOutcome =>
    isDoubtful
      ? { outcome: "unsure", reason, comeBack }
      : { outcome: "away", reason, comeBack, ...(code === undefined ? {} : { code }) };
  const route = node.plan.route(topic);
  if (route === undefined) {
    const { code, reason, comeBack } = await vise.planCheck.faultOf(topic);
    return comeBack === undefined ? { outcome: "refused", code, reason } : givenUp(reason, comeBack);
  }
  const shard = vise.streams.shardOf(route.stream);
  if (!(await isHeld(vise, shard))) return givenUp("the topic has no holder just now", 0.1);
  session.numbers.opened(topic, number);
  const { spaceBirth } = route;
  const publish = { shard, session: session.id, ownerEpoch: session.epoch, spaceBirth, number, topic };
  const receipt = await atHolder(vise, shard, { ...publish, payload: Buffer.from(payload) });
  if (receipt === undefined)
    return { outcome: "unsure", reason: "the topic's holder did not answer; the same number again", comeBack: 0.2 };
  if (receipt !== "mute" && receipt.outcome === "unsure")
    return { outcome: "unsure", reason: receipt.reason, comeBack: receipt.comeBack };
  if (!isDoubtful || (receipt !== "mute" && receipt.outcome === "accepted")) session.numbers.settled(topic, number);
  if (receipt === "mute") return givenUp("the topic's holder does not answer", 0.2);
  const { outcome, code, reason, comeBack, birth, seq } = receipt;
  if (outcome === "accepted") return { outcome: "accepted", place: Places.write(birth, seq) };
  if (outcome === "refused") return { outcome: "refused", code, reason };
  return givenUp(reason || "the topic is changing hands", comeBack || 0.5, code || undefined);
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

/** The call came in at a node that does not own the session. */
async function passOn(vise: ViseParts, id: string, call: ApiCall): Promise<ApiReceipt> {
  const owner = call.isPassed ? undefined : (await readOwner(vise.node.store, id))?.owner;
  if (owner === undefined || owner.node === "" || owner.node === vise.node.exchange.name)
    return ApiReceipts.fault(409, "no-link", "this session has no link; open one first", { comeBack: 0.3 });
  const receipt = await vise.router.passTo(owner.node, "POST", call.path, call.body, vise.publishDue + 300);
  return receipt ?? ApiReceipts.unsure("the session's owner did not answer; the same number again settles it");
}
