import type { History, HistoryEvent } from "../checker/history.js";
import type { Client } from "../clients/client.js";

/** What a probe needs from the run. */
interface ProbeParts {
  history: History;
  clients: readonly Client[];
  draw: () => number;
  now: () => number;
  /** The topics on which a client may publish. */
  publishableTopics: (client: Client) => readonly string[];
}

/**
 * Tells whether service has recovered: every client publishes a message, and every reader of its topic must receive it.
 * Open connections alone prove nothing.
 */
export class Probe {
  readonly #history: History;
  readonly #now: () => number;
  /** The readers that have not yet received each message, by payload. */
  readonly #missingReaders = new Map<string, Set<string>>();
  /** Sessions whose message is not accepted yet. */
  readonly #unacceptedPublishers = new Set<string>();
  /** How many events of the history were handled. */
  #readCount: number;
  readonly startedAt: number;
  /** When service had recovered; infinite before. */
  recoveredAt = Infinity;

  constructor({ history, clients, draw, now, publishableTopics }: ProbeParts) {
    this.#history = history;
    this.#now = now;
    this.startedAt = now();
    this.#readCount = history.events.length;
    for (const client of clients) {
      const topics = publishableTopics(client);
      const topic = topics[Math.floor(draw() * topics.length)];
      if (topic === undefined) continue;
      const payload = `probe ${client.session} ${Math.floor(draw() * 1e9)}`;
      const readers = clients.filter((one) => one.topics.includes(topic)).map((one) => one.session);
      if (readers.length > 0) this.#missingReaders.set(payload, new Set(readers));
      this.#unacceptedPublishers.add(client.session);
      void this.#publish(client, topic, payload);
    }
  }

  /** Publishes until accepted: while a configuration is being replaced, a refusal may be temporary. */
  async #publish(client: Client, topic: string, payload: string): Promise<void> {
    let isAccepted = false;
    for (let tries = 0; tries < 20 && !isAccepted; tries += 1) isAccepted = await client.publish(topic, payload);
    if (isAccepted) this.#unacceptedPublishers.delete(client.session);
  }

  /** Whether service has recovered, by the history up to now. */
  get isRecovered(): boolean {
    const { events: seen } = this.#history;
    for (; this.#readCount < seen.length; this.#readCount += 1) this.#handleSeen(seen[this.#readCount]!);
    const isBack = this.#unacceptedPublishers.size === 0 && this.#missingReaders.size === 0;
    if (isBack && this.recoveredAt === Infinity) this.recoveredAt = this.#now();
    return isBack;
  }

  /** A readable list of what is still missing, for messages. */
  get missing(): string {
    const waiting = [...this.#missingReaders].map(([payload, readers]) => `${payload} to ${[...readers].join(" ")}`);
    return [`replies to ${[...this.#unacceptedPublishers].join(" ") || "none"}`, ...waiting].slice(0, 8).join("; ");
  }

  #handleSeen(event: HistoryEvent): void {
    if (event.kind !== "received") return;
    const readers = this.#missingReaders.get(event.payload);
    readers?.delete(event.subscriber);
    if (readers?.size === 0) this.#missingReaders.delete(event.payload);
  }
}
