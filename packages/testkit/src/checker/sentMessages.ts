import type { Seen } from "./history.js";

/** One message as its sender saw it: every attempt, and what came of them. Times are those of the history. */
export interface SentMessage {
  sender: string;
  topic: string;
  number: number;
  payload: string;
  firstAt: number;
  tries: number[];
  acceptedAt: number | undefined;
  /** An attempt ended without a reply. */
  isUnknown: boolean;
  isRefused: boolean;
}

/** A message's name within its topic. */
export const keyOf = (sender: string, number: number): string => `${sender}#${number}`;

/** Everything that was published, whatever the outcome, by topic, sender and number. */
export class SentMessages {
  readonly #byTopic = new Map<string, Map<string, SentMessage>>();

  constructor(seen: readonly Seen[]) {
    for (const one of seen)
      if (one.kind === "tried" || one.kind === "accepted" || one.kind === "refused" || one.kind === "unsure")
        this.#note(one);
  }

  find(topic: string, key: string): SentMessage | undefined {
    return this.#byTopic.get(topic)?.get(key);
  }

  /** In the order of their first attempts. */
  ofTopic(topic: string): SentMessage[] {
    return [...(this.#byTopic.get(topic)?.values() ?? [])];
  }

  #note(one: Extract<Seen, { kind: "tried" | "accepted" | "refused" | "unsure" }>): void {
    let topic = this.#byTopic.get(one.topic);
    if (topic === undefined) this.#byTopic.set(one.topic, (topic = new Map()));
    const key = keyOf(one.sender, one.number);
    const message = topic.get(key);
    if (one.kind === "tried") {
      if (message !== undefined) return void message.tries.push(one.at);
      const { sender, number, payload, at } = one;
      const outcome = { acceptedAt: undefined, isUnknown: false, isRefused: false };
      topic.set(key, { sender, topic: one.topic, number, payload, firstAt: at, tries: [at], ...outcome });
    } else if (message !== undefined) {
      if (one.kind === "accepted") message.acceptedAt ??= one.at;
      else if (one.kind === "unsure") message.isUnknown = true;
      else message.isRefused = true;
    }
  }
}
