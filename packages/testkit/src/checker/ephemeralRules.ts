import type { Breach } from "./checker.js";
import type { HistoryEvent } from "./history.js";

/** What happened to a message on the publisher's side: how often it was tried and refused. */
interface SendOutcome {
  payload: string;
  tries: number;
  refusals: number;
}

type Received = Extract<HistoryEvent, { kind: "received" }>;

/**
 * Checks a history of topics without retention. On one connection the numbers of each publisher must rise without
 * repetition; a message must have been sent with the same payload, and must not arrive if every attempt to send it was
 * refused.
 */
export function checkEphemeralTopics(seen: readonly HistoryEvent[]): Breach[] {
  const breaches: Breach[] = [];
  const outcomes = outcomesOf(seen);
  /** By subscriber, then by `TOPIC PUBLISHER`: the highest number received on the present connection. */
  const connections = new Map<string, Map<string, number>>();
  for (const event of seen) {
    if (event.kind === "linked") connections.set(event.subscriber, new Map());
    if (event.kind === "ended") forgetTopic(connections.get(event.subscriber), event.topic);
    if (event.kind !== "received") continue;
    const breach = findBreach(
      event,
      outcomes.get(keyOf(event)),
      connections.get(event.subscriber) ?? new Map<string, number>(),
    );
    if (breach !== undefined) breaches.push({ ...breach, at: event.at });
  }
  return breaches;
}

/** Drops the numbers of a topic whose subscription ended: later messages belong to another subscription. */
function forgetTopic(connection: Map<string, number> | undefined, topic: string): void {
  for (const key of connection?.keys() ?? []) if (key.startsWith(`${topic} `)) connection!.delete(key);
}

function findBreach(
  event: Received,
  outcome: SendOutcome | undefined,
  lastNumbers: Map<string, number>,
): { rule: string; text: string } | undefined {
  const what = `${event.subscriber} on ${event.topic}: ${event.sender}#${event.number}`;
  const publisher = `${event.topic} ${event.sender}`;
  const previous = lastNumbers.get(publisher) ?? 0;
  lastNumbers.set(publisher, Math.max(previous, event.number));
  if (outcome === undefined) return { rule: "nobody-sent", text: `${what} was never sent` };
  if (outcome.payload !== event.payload) return { rule: "changed-bytes", text: `${what} came with another payload` };
  if (outcome.refusals > 0 && outcome.refusals === outcome.tries)
    return { rule: "refused-delivered", text: `${what} was delivered though every try was refused` };
  if (event.number === previous) return { rule: "twice", text: `${what} came twice` };
  if (event.number < previous) return { rule: "sender-order", text: `${what} came after number ${previous}` };
  return undefined;
}

function outcomesOf(seen: readonly HistoryEvent[]): Map<string, SendOutcome> {
  const outcomes = new Map<string, SendOutcome>();
  for (const event of seen) {
    if (event.kind === "tried") {
      const outcome = outcomes.get(keyOf(event));
      if (outcome === undefined) outcomes.set(keyOf(event), { payload: event.payload, tries: 1, refusals: 0 });
      else outcome.tries += 1;
    } else if (event.kind === "refused") {
      const outcome = outcomes.get(keyOf(event));
      if (outcome !== undefined) outcome.refusals += 1;
    }
  }
  return outcomes;
}

function keyOf({ topic, sender, number }: { topic: string; sender: string; number: number }): string {
  return `${topic} ${sender}#${number}`;
}
