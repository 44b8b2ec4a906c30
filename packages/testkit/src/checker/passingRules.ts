import type { Breach } from "./checker.js";
import type { Seen } from "./history.js";

interface Fate {
  payload: string;
  tries: number;
  refusals: number;
}
type Received = Extract<Seen, { kind: "received" }>;

/**
 * Judges a history of topics whose space keeps nothing: on one connection a publisher's numbers rise and none comes
 * twice,
 * nothing comes that nobody sent, and nothing of which every try was refused for good.
 */
export function checkEphemeralTopics(seen: readonly Seen[]): Breach[] {
  const breaches: Breach[] = [];
  const fates = fatesOf(seen);
  /** By subscriber, then by topic and publisher: the last number on the present connection. */
  const connections = new Map<string, Map<string, number>>();
  for (const one of seen) {
    if (one.kind === "linked") connections.set(one.subscriber, new Map());
    if (one.kind === "ended") forget(connections.get(one.subscriber), one.topic);
    if (one.kind !== "received") continue;
    const fault = faultOf(one, fates.get(keyOf(one)), connections.get(one.subscriber) ?? new Map<string, number>());
    if (fault !== undefined) breaches.push({ ...fault, at: one.at });
  }
  return breaches;
}

/** What comes after a subscription's end is another subscription's. */
function forget(connection: Map<string, number> | undefined, topic: string): void {
  for (const key of connection?.keys() ?? []) if (key.startsWith(`${topic} `)) connection!.delete(key);
}

function faultOf(
  one: Received,
  fate: Fate | undefined,
  last: Map<string, number>,
): { rule: string; text: string } | undefined {
  const what = `${one.subscriber} on ${one.topic}: ${one.sender}#${one.number}`;
  const publisher = `${one.topic} ${one.sender}`;
  const before = last.get(publisher) ?? 0;
  last.set(publisher, Math.max(before, one.number));
  if (fate === undefined) return { rule: "nobody-sent", text: `${what} was never sent` };
  if (fate.payload !== one.payload) return { rule: "changed-bytes", text: `${what} came with other bytes` };
  if (fate.refusals > 0 && fate.refusals === fate.tries)
    return { rule: "refused-delivered", text: `${what} was delivered though every try was refused` };
  if (one.number === before) return { rule: "twice", text: `${what} came twice` };
  if (one.number < before) return { rule: "sender-order", text: `${what} came after number ${before}` };
  return undefined;
}

function fatesOf(seen: readonly Seen[]): Map<string, Fate> {
  const fates = new Map<string, Fate>();
  for (const one of seen) {
    if (one.kind === "tried") {
      const fate = fates.get(keyOf(one));
      if (fate === undefined) fates.set(keyOf(one), { payload: one.payload, tries: 1, refusals: 0 });
      else fate.tries += 1;
    } else if (one.kind === "refused") {
      const fate = fates.get(keyOf(one));
      if (fate !== undefined) fate.refusals += 1;
    }
  }
  return fates;
}

function keyOf({ topic, sender, number }: { topic: string; sender: string; number: number }): string {
  return `${topic} ${sender}#${number}`;
}
