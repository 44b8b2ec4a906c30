import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { History } from "../checker/history.js";
import type { Client } from "./caller.js";
import type { ClientPort, PortReply } from "./callerPort.js";

interface PublisherParts {
  /** Whose session it publishes under, and at whose node. */
  client: Client;
  port: ClientPort;
  clock: Clock;
  history: History;
}
interface Message {
  readonly topic: string;
  readonly number: number;
  readonly payload: string;
  readonly end: number;
}

/**
 * Publishes on one caller's session without waiting for one message before the next. A number whose fate is not
 * known is sent again until its deadline; one that was refused is not.
 */
export class PipelinedPublisher {
  static readonly maxOpen = 8;
  static readonly deadlineMs = 1200;
  static readonly againMs = 60;

  readonly #parts: PublisherParts;
  readonly #open = new Map<string, number>();
  #number = 0;

  constructor(parts: PublisherParts) {
    this.#parts = parts;
  }

  /** Messages whose fate is not known yet. */
  get open(): number {
    return [...this.#open.values()].reduce((sum, count) => sum + count, 0);
  }

  publish(topic: string): void {
    const { client, clock } = this.#parts;
    const open = this.#open.get(topic) ?? 0;
    if (!client.isConnected || open >= PipelinedPublisher.maxOpen) return;
    this.#open.set(topic, open + 1);
    const number = ++this.#number;
    const end = clock.now() + PipelinedPublisher.deadlineMs;
    void this.#settle({ topic, number, payload: `${client.session} ${number}`, end }).then(() =>
      this.#open.set(topic, this.#open.get(topic)! - 1),
    );
  }

  async #settle(message: Message): Promise<void> {
    const { clock, client, history } = this.#parts;
    const { topic, number } = message;
    while (clock.now() < message.end) {
      if (!client.isConnected) {
        await this.#wait();
        continue;
      }
      const reply = await this.#try(message);
      const about = { at: clock.now(), sender: client.session, topic, number };
      if (reply.status === 200) return history.add({ kind: "accepted", ...about, place: "" });
      if (reply.status !== 0 && reply.status !== 504)
        return history.add({ kind: "refused", ...about, code: codeOf(reply) });
      history.add({ kind: "unsure", ...about });
      await this.#wait();
    }
  }

  #try({ topic, number, payload }: Message): Promise<PortReply> {
    const { client, port, history, clock } = this.#parts;
    const { session, node } = client;
    history.add({ kind: "tried", at: clock.now(), sender: session, topic, number, payload });
    return port.call(node, "POST", `/v1/sessions/${session}/messages`, JSON.stringify({ topic, number, payload }));
  }

  #wait(): Promise<void> {
    return new Promise((resolve) => void this.#parts.clock.once(PipelinedPublisher.againMs, resolve));
  }
}

function codeOf({ body }: PortReply): string {
  return String((body["error"] as { code?: string } | undefined)?.code ?? "");
}
