import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { History } from "../checker/history.js";
import type { Client } from "./client.js";
import type { ClientPort, PortReply } from "./clientPort.js";

/** What a publisher needs from the run. */
interface PublisherParts {
  /** The client whose session and node it publishes with. */
  client: Client;
  port: ClientPort;
  clock: Clock;
  history: History;
}

/** A message that has no final reply yet. */
interface Message {
  readonly topic: string;
  readonly number: number;
  readonly payload: string;
  /** When retries end, in milliseconds of the clock. */
  readonly deadline: number;
}

/**
 * Publishes on one client's session without waiting for the reply to one message before sending the next. A number
 * whose outcome is unknown is sent again until its deadline; a refused one is not.
 */
export class PipelinedPublisher {
  /** Further publishes on a topic are dropped while this many have no final reply. */
  static readonly maxPendingPerTopic = 8;
  static readonly deadlineMs = 1200;
  static readonly retryMs = 60;

  readonly #parts: PublisherParts;
  readonly #pendingByTopic = new Map<string, number>();
  #number = 0;

  constructor(parts: PublisherParts) {
    this.#parts = parts;
  }

  /** Number of messages whose outcome is not known yet. */
  get open(): number {
    return [...this.#pendingByTopic.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Publishes one message; does nothing while the client is disconnected or too many messages are pending. */
  publish(topic: string): void {
    const { client, clock } = this.#parts;
    const pendingCount = this.#pendingByTopic.get(topic) ?? 0;
    if (!client.isConnected || pendingCount >= PipelinedPublisher.maxPendingPerTopic) return;
    this.#pendingByTopic.set(topic, pendingCount + 1);
    const number = ++this.#number;
    const deadline = clock.now() + PipelinedPublisher.deadlineMs;
    void this.#publishUntilFinal({ topic, number, payload: `${client.session} ${number}`, deadline }).then(() =>
      this.#pendingByTopic.set(topic, this.#pendingByTopic.get(topic)! - 1),
    );
  }

  async #publishUntilFinal(message: Message): Promise<void> {
    const { clock, client, history } = this.#parts;
    const { topic, number } = message;
    while (clock.now() < message.deadline) {
      if (!client.isConnected) {
        await this.#wait();
        continue;
      }
      const reply = await this.#tryPublish(message);
      const about = { at: clock.now(), sender: client.session, topic, number };
      if (reply.status === 200) return history.add({ kind: "accepted", ...about, place: "" });
      if (reply.status !== 0 && reply.status !== 504)
        return history.add({ kind: "refused", ...about, code: codeOf(reply) });
      history.add({ kind: "unsure", ...about });
      await this.#wait();
    }
  }

  #tryPublish({ topic, number, payload }: Message): Promise<PortReply> {
    const { client, port, history, clock } = this.#parts;
    const { session, node } = client;
    history.add({ kind: "tried", at: clock.now(), sender: session, topic, number, payload });
    return port.call(node, "POST", `/v1/sessions/${session}/messages`, JSON.stringify({ topic, number, payload }));
  }

  #wait(): Promise<void> {
    return new Promise((resolve) => void this.#parts.clock.once(PipelinedPublisher.retryMs, resolve));
  }
}

function codeOf({ body }: PortReply): string {
  return String((body["error"] as { code?: string } | undefined)?.code ?? "");
}
