import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Breach } from "../checker/checker.js";
import { History } from "../checker/history.js";
import { checkEphemeralTopics } from "../checker/passingRules.js";
import type { SimRandom } from "../sim/simRandom.js";
import { Client } from "./caller.js";
import type { ClientPort } from "./callerPort.js";
import { PipelinedPublisher } from "./pipelinedPublisher.js";

interface EphemeralClientParts {
  port: ClientPort;
  clock: Clock;
  random: SimRandom;
  /** Edges that callers may come to just now. */
  edges: () => string[];
  topics: readonly string[];
  readers: number;
  publishers: number;
  /** Messages a second, of all publishers. */
  perSecond: number;
}

/**
 * Callers of a space that keeps nothing: publishers that don't wait for one message before the next, and readers that
 * drop off and come back with their places, mostly at another edge. Judged by rules of their own.
 */
export class EphemeralClients {
  /** Messages that are published in one go, so that some are always under way at once. */
  static readonly burst = 4;
  static readonly dropMs = 900;
  static readonly maxDisconnectedMs = 400;

  readonly #parts: EphemeralClientParts;
  readonly #history = new History();
  readonly #readers: Client[];
  readonly #senders: Client[];
  readonly #publishers: PipelinedPublisher[];
  #stops: Array<() => void> = [];

  constructor(parts: EphemeralClientParts) {
    this.#parts = parts;
    this.#readers = this.#clients("reader", parts.readers);
    this.#senders = this.#clients("sender", parts.publishers);
    this.#publishers = this.#senders.map(
      (client) => new PipelinedPublisher({ client, port: parts.port, clock: parts.clock, history: this.#history }),
    );
  }

  /** Messages that came to readers. */
  get received(): number {
    return this.#history.seen.filter(({ kind }) => kind === "received").length;
  }

  begin(): void {
    const { clock, random, perSecond, topics } = this.#parts;
    for (const reader of this.#readers) reader.start(topics);
    for (const sender of this.#senders) sender.start([]);
    const bursts = clock.every((1000 * EphemeralClients.burst) / perSecond, () => this.#publish());
    const drops = clock.every(EphemeralClients.dropMs, () =>
      random.pick(this.#readers).dropOff(random.between(0, EphemeralClients.maxDisconnectedMs)),
    );
    this.#stops = [() => bursts.stop(), () => drops.stop()];
  }

  end(): void {
    for (const stop of this.#stops.splice(0)) stop();
    for (const client of [...this.#readers, ...this.#senders]) client.stop();
  }

  judge(): Breach[] {
    return checkEphemeralTopics(this.#history.seen);
  }

  #publish(): void {
    const publisher = this.#parts.random.pick(this.#publishers);
    const topic = this.#parts.random.pick(this.#parts.topics);
    for (let i = 0; i < EphemeralClients.burst; i += 1) publisher.publish(topic);
  }

  #clients(kind: string, count: number): Client[] {
    const { port, clock, random, edges } = this.#parts;
    return Array.from({ length: count }, (_, i) => {
      const session = `passing-${kind}-${i + 1}`;
      return new Client({ session, port, clock, draw: () => random.draw(), history: this.#history, nodes: edges });
    });
  }
}
