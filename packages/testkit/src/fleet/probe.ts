import type { History, Seen } from "../checker/history.js";
import type { Client } from "../callers/caller.js";

interface ProbeParts {
  history: History;
  clients: readonly Client[];
  draw: () => number;
  now: () => number;
  /** The topics that a caller may publish on. */
  topicsFor: (client: Client) => readonly string[];
}

/**
 * Whether service is back: every caller publishes a message, and every reader of its topic receives it.
 * Connections that are up prove nothing by themselves.
 */
export class Probe {
  readonly #history: History;
  readonly #now: () => number;
  /** For each message that is under way, the readers that have not received it. */
  readonly #missing = new Map<string, Set<string>>();
  readonly #openCalls = new Set<string>();
  #read: number;
  readonly startedAt: number;
  doneAt = Infinity;

  constructor({ history, clients, draw, now, topicsFor }: ProbeParts) {
    this.#history = history;
    this.#now = now;
    this.startedAt = now();
    this.#read = history.seen.length;
    for (const client of clients) {
      const topics = topicsFor(client);
      const topic = topics[Math.floor(draw() * topics.length)];
      if (topic === undefined) continue;
      const payload = `probe ${client.session} ${Math.floor(draw() * 1e9)}`;
      const readers = clients.filter((one) => one.topics.includes(topic)).map((one) => one.session);
      if (readers.length > 0) this.#missing.set(payload, new Set(readers));
      this.#openCalls.add(client.session);
      void this.#publish(client, topic, payload);
    }
  }

  /** A refusal under a configuration that is being replaced just now does not end it. */
  async #publish(client: Client, topic: string, payload: string): Promise<void> {
    let isAccepted = false;
    for (let tries = 0; tries < 20 && !isAccepted; tries += 1) isAccepted = await client.publish(topic, payload);
    if (isAccepted) this.#openCalls.delete(client.session);
  }

  /** Looks at what came since the last look. */
  get isBack(): boolean {
    const { seen } = this.#history;
    for (; this.#read < seen.length; this.#read += 1) this.#handleSeen(seen[this.#read]!);
    const isBack = this.#openCalls.size === 0 && this.#missing.size === 0;
    if (isBack && this.doneAt === Infinity) this.doneAt = this.#now();
    return isBack;
  }

  /** What is still missing, for people's eyes. */
  get missing(): string {
    const waiting = [...this.#missing].map(([payload, readers]) => `${payload} to ${[...readers].join(" ")}`);
    return [`receipts of ${[...this.#openCalls].join(" ") || "none"}`, ...waiting].slice(0, 8).join("; ");
  }

  #handleSeen(one: Seen): void {
    if (one.kind !== "received") return;
    const readers = this.#missing.get(one.payload);
    readers?.delete(one.subscriber);
    if (readers?.size === 0) this.#missing.delete(one.payload);
  }
}
