import { ApiReceipts, type ApiReceipt } from "@cranetrack/chest/request/apiReceipt.js";
import type { ClientLink } from "../link/clientLink.js";
import { Subscription } from "../link/subscription.js";
import { Places, type Place } from "../mark/place.js";
import type { Session } from "../process/session.js";
import type { TopicTail } from "../process/topicTail.js";
import type { ViseParts } from "../process/viseParts.js";

export interface Wish {
  topic: string;
  after?: string;
}
interface Ready {
  wish: Wish;
  tail: TopicTail;
  start: Place;
  note: object | undefined;
}

/**
 * Each topic: follow it at its holder, find the start, write the key under the owner key's revision, and
 * only then confirm. What fails is said for that topic alone.
 */
export async function subscribeTopics(
  vise: ViseParts,
  session: Session,
  link: ClientLink,
  wishes: readonly Wish[],
): Promise<ApiReceipt> {
  const fresh = wishes.filter(
    (wish, i) => !session.subscriptions.has(wish.topic) && wishes.findIndex((one) => one.topic === wish.topic) === i,
  );
  for (const wish of wishes) {
    const subscription = session.subscriptions.get(wish.topic);
    if (subscription !== undefined)
      link.send({ kind: "confirmed", topic: wish.topic, place: Places.write(subscription.birth, subscription.cursor) });
  }
  const ready = (await Promise.all(fresh.map((wish) => prepare(vise, session, link, wish)))).filter(
    (one) => one !== undefined,
  );
  if (ready.length === 0) return ApiReceipts.done({ receipt: "subscribed" });

  const lease = `session:${session.id}`;
  const prefix = `sessions/${session.id}/subscriptions/`;
  const checks = [{ key: `sessions/${session.id}/owner`, revision: session.epoch }];
  const puts = ready.map(({ wish, start }) => ({
    key: prefix + wish.topic,
    value: Buffer.from(Places.write(start.birth, start.seq)),
    lease,
  }));
  let written = await vise.node.store.txn({ checks, puts });
  if (written.outcome === "lost") {
    await vise.node.store.call({ case: "grant", value: { lease, length: vise.sessionKeepMs } });
    written = await vise.node.store.txn({ checks, puts });
  }
  if (written.outcome !== "done" || session.link !== link) {
    for (const { tail } of ready) vise.topics.leave(tail);
    if (session.link === link) session.unlink("the subscriptions could not be kept", 0.5, vise.node.parts.clock.now());
    return ApiReceipts.away("the subscriptions could not be kept", 0.5);
  }
  for (const { wish, tail, start, note } of ready) {
    if (session.link !== link || session.subscriptions.has(wish.topic)) {
      vise.topics.leave(tail);
      continue;
    }
    const subscription = new Subscription({
      table: vise.topics,
      tail,
      link,
      start,
      maySend: () => vise.maySend(session, link),
      onEnd: () => session.subscriptions.delete(wish.topic),
    });
    session.subscriptions.set(wish.topic, subscription);
    session.places.delete(wish.topic);
    if (!vise.maySend(session, link)) break;
    if (note !== undefined) link.send(note);
    link.send({ kind: "confirmed", topic: wish.topic, place: Places.write(start.birth, start.seq) });
    subscription.start();
  }
  return ApiReceipts.done({ receipt: "subscribed" });
}

async function prepare(vise: ViseParts, session: Session, link: ClientLink, wish: Wish): Promise<Ready | undefined> {
  const { topic, after } = wish;
  const asked = Places.read(after);
  if (after !== undefined && asked === undefined)
    return void link.send({ kind: "fault", topic, code: "malformed-place", reason: "the place is malformed" });
  const tail = vise.topics.take(topic);
  const known = await vise.topics.known(tail, 1500);
  const leave = (line: object): undefined => {
    vise.topics.leave(tail);
    if (session.link === link) link.send(line);
    return undefined;
  };
  if (known === "away")
    return leave({
      kind: "fault",
      topic,
      code: "unavailable",
      reason: "the topic's holder does not answer",
      comeBack: 0.5,
    });
  if (known !== "known")
    return leave({ kind: "fault", topic, code: known.fault, reason: `the plan in force has no rule for ${topic}` });
  const place = asked ?? session.places.get(topic);
  if (place === undefined) return { wish, tail, start: { birth: tail.birth, seq: tail.head }, note: undefined };
  if (place.birth !== tail.birth) {
    const start = { birth: tail.birth, seq: tail.low };
    return {
      wish,
      tail,
      start,
      note: { kind: "expired", topic, place: Places.write(start.birth, start.seq), reason: "the topic was made again" },
    };
  }
  if (asked !== undefined && place.seq > tail.head)
    return leave({ kind: "fault", topic, code: "unknown-place", reason: "the topic has no such place" });
  return { wish, tail, start: place, note: undefined };
}
