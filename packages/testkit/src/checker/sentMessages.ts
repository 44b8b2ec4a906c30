import type { HistoryEvent } from "./history.js";

/** One message as its sender observed it: all attempts and their outcomes. Times are those of the history. */
export interface SentMessage {
  sender: string;
  topic: string;
  number: number;
  payload: string;
  /** When the first attempt started. */
  firstAt: number;
  /** When each attempt started, the first included. */
  tries: number[];
  /** When the first acceptance arrived; undefined if none did. */
  acceptedAt: number | undefined;
  /** At least one attempt ended without a reply. */
  isUnknown: boolean;
  /** At least one attempt was refused. */
  isRefused: boolean;
}

/** Identifies a message within its topic. */
export const keyOf = (sender: string, number: number): string => `${sender}#${number}`;

/** All messages of a history that a publisher tried to send, whatever the outcome, by topic, sender and number. */
export class SentMessages {
  readonly #byTopic = new Map<string, Map<string, SentMessage>>();

  constructor(seen: readonly HistoryEvent[]) {
    for (const event of seen)
      if (event.kind === "tried" || event.kind === "accepted" || event.kind === "refused" || event.kind === "unsure")
        this.#record(event);
  }

  find(topic: string, key: string): SentMessage | undefined {
    return this.#byTopic.get(topic)?.get(key);
  }

  /** The messages of a topic in the order of their first attempts. */
  ofTopic(topic: string): SentMessage[] {
    return [...(this.#byTopic.get(topic)?.values() ?? [])];
  }

  #record(event: Extract<HistoryEvent, { kind: "tried" | "accepted" | "refused" | "unsure" }>): void {
    let messages = this.#byTopic.get(event.topic);
    if (messages === undefined) this.#byTopic.set(event.topic, (messages = new Map()));
    const key = keyOf(event.sender, event.number);
    const message = messages.get(key);
    if (event.kind === "tried") {
      if (message !== undefined) return void message.tries.push(event.at);
      const { sender, number, payload, at } = event;
      const outcome = { acceptedAt: undefined, isUnknown: false, isRefused: false };
      messages.set(key, { sender, topic: event.topic, number, payload, firstAt: at, tries: [at], ...outcome });
    } else if (message !== undefined) {
      if (event.kind === "accepted") message.acceptedAt ??= event.at;
      else if (event.kind === "unsure") message.isUnknown = true;
      else message.isRefused = true;
    }
  }
}
