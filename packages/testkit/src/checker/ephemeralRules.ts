import type { Breach } from "./checker.js";
import type { HistoryEvent } from "./history.js";

/** What happened to a message on the publisher's side: how often it was tried and refused, and how it ended. */
interface SendOutcome {
  payload: string;
  tries: number;
  refusals: number;
  /** The last reply was a refusal, which promises that the message never was and never will be published. */
  isPromisedUndone: boolean;
}

/** Codes of refusals that promise nothing of earlier tries. */
const codesWithoutPromise = new Set(["unknown-topic", "no-link", "too-large", "not-a-publisher", "unreachable"]);

type Received = Extract<HistoryEvent, { kind: "received" }>;

/**
 * Checks a history of topics without retention. On one connection the numbers of each publisher must rise without
 * repetition; a message must have been sent with the same payload, and must not arrive if every attempt to send it was
 * refused, or if the last reply promised so. Topics with one order reach all connections in that order.
 */
export function checkEphemeralTopics(
  seen: readonly HistoryEvent[],
  hasOneOrder: (topic: string) => boolean = () => false,
): Breach[] {
  const breaches = checkOneOrder(seen, hasOneOrder);
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
  if (outcome.isPromisedUndone)
    return { rule: "promise-broken", text: `${what} was delivered though its last reply promised that it was not` };
  if (event.number === previous) return { rule: "twice", text: `${what} came twice` };
  if (event.number < previous) return { rule: "sender-order", text: `${what} came after number ${previous}` };
  return undefined;
}

/** Reports pairs of connections that received two messages of a topic with one order in different orders. */
function checkOneOrder(seen: readonly HistoryEvent[], hasOneOrder: (topic: string) => boolean): Breach[] {
  const sequencesByTopic = new Map<string, ConnectionSequence[]>();
  const connections = new Map<string, number>();
  for (const event of seen) {
    if (event.kind === "linked") connections.set(event.subscriber, (connections.get(event.subscriber) ?? 0) + 1);
    if (event.kind !== "received" || !hasOneOrder(event.topic)) continue;
    const connection = `${event.subscriber}, connection ${connections.get(event.subscriber)}`;
    const sequences = sequencesByTopic.get(event.topic) ?? [];
    sequencesByTopic.set(event.topic, sequences);
    let sequence = sequences.find((one) => one.connection === connection);
    if (sequence === undefined) sequences.push((sequence = { connection, positions: new Map(), at: event.at }));
    const message = `${event.sender}#${event.number}`;
    if (!sequence.positions.has(message)) sequence.positions.set(message, sequence.positions.size);
  }
  return [...sequencesByTopic].flatMap(([topic, sequences]) =>
    sequences.flatMap((one, i) => sequences.slice(i + 1).flatMap((other) => disorderOf(topic, one, other))),
  );
}

/** The messages of one topic that one connection received, each with its position among them. */
interface ConnectionSequence {
  readonly connection: string;
  readonly positions: Map<string, number>;
  /** When the first one was received. */
  readonly at: number;
}

function disorderOf(topic: string, one: ConnectionSequence, other: ConnectionSequence): Breach[] {
  let last: { message: string; position: number } | undefined;
  for (const message of one.positions.keys()) {
    const position = other.positions.get(message);
    if (position === undefined) continue;
    if (last !== undefined && position < last.position) {
      const text = `${topic}: ${last.message} before ${message} on ${one.connection}, after it on ${other.connection}`;
      return [{ rule: "one-order", text, at: one.at }];
    }
    last = { message, position };
  }
  return [];
}

function outcomesOf(seen: readonly HistoryEvent[]): Map<string, SendOutcome> {
  const outcomes = new Map<string, SendOutcome>();
  for (const event of seen) {
    if (event.kind === "tried") {
      const outcome = outcomes.get(keyOf(event));
      if (outcome === undefined)
        outcomes.set(keyOf(event), { payload: event.payload, tries: 1, refusals: 0, isPromisedUndone: false });
      else outcome.tries += 1;
    } else if (event.kind === "refused") {
      const outcome = outcomes.get(keyOf(event));
      if (outcome === undefined) continue;
      outcome.refusals += 1;
      outcome.isPromisedUndone = !codesWithoutPromise.has(event.code);
    }
  }
  return outcomes;
}

function keyOf({ topic, sender, number }: { topic: string; sender: string; number: number }): string {
  return `${topic} ${sender}#${number}`;
}
