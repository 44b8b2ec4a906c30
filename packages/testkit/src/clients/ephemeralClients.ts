import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { Breach } from "../checker/checker.js";
import { History } from "../checker/history.js";
import { checkEphemeralTopics } from "../checker/ephemeralRules.js";
import type { SimRandom } from "../sim/simRandom.js";
import { Client } from "./client.js";
import type { ClientPort } from "./clientPort.js";
import { PipelinedPublisher } from "./pipelinedPublisher.js";

/** What the clients need from the run. */
interface EphemeralClientParts {
  port: ClientPort;
  clock: Clock;
  random: SimRandom;
  /** Edges to which clients may connect at present. */
  edges: () => string[];
  topics: readonly string[];
  /** Whether all subscribers of a topic must receive its messages in one order; by default none must. */
  hasOneOrder?: (topic: string) => boolean;
  readers: number;
  publishers: number;
  /** Messages a second, of all publishers together. */
  perSecond: number;
}

/**
 * Clients of a space without retention: publishers that do not wait for a reply before the next message, and readers
 * that disconnect and resume from their positions, mostly at another edge. Separate rules apply to them.
 */
export class EphemeralClients {
  /** How many messages are published at once, so that several wait for replies at the same time. */
  static readonly burstSize = 4;
  /** How often a random reader disconnects. */
  static readonly disconnectIntervalMs = 900;
  /** Longest time until it reconnects. */
  static readonly maxDisconnectedMs = 400;

  readonly #parts: EphemeralClientParts;
  readonly #history = new History();
  readonly #readers: Client[];
  readonly #senders: Client[];
  readonly #publishers: PipelinedPublisher[];
  #stopActions: Array<() => void> = [];

  constructor(parts: EphemeralClientParts) {
    this.#parts = parts;
    this.#readers = this.#clients("reader", parts.readers);
    this.#senders = this.#clients("sender", parts.publishers);
    this.#publishers = this.#senders.map(
      (client) => new PipelinedPublisher({ client, port: parts.port, clock: parts.clock, history: this.#history }),
    );
  }

  /** Number of deliveries to readers. */
  get received(): number {
    return this.#history.events.filter(({ kind }) => kind === "received").length;
  }

  /** Connects all clients and starts publishes and disconnects. */
  start(): void {
    const { clock, random, perSecond, topics } = this.#parts;
    for (const reader of this.#readers) reader.start(topics);
    for (const sender of this.#senders) sender.start([]);
    const bursts = clock.every((1000 * EphemeralClients.burstSize) / perSecond, () => this.#publish());
    const drops = clock.every(EphemeralClients.disconnectIntervalMs, () =>
      random.pick(this.#readers).disconnectFor(random.between(0, EphemeralClients.maxDisconnectedMs)),
    );
    this.#stopActions = [() => bursts.stop(), () => drops.stop()];
  }

  /** Stops everything. */
  stop(): void {
    for (const stop of this.#stopActions.splice(0)) stop();
    for (const client of [...this.#readers, ...this.#senders]) client.stop();
  }

  /** Violations of the rules for topics without retention. */
  check(): Breach[] {
    return checkEphemeralTopics(this.#history.events, this.#parts.hasOneOrder);
  }

  #publish(): void {
    const publisher = this.#parts.random.pick(this.#publishers);
    const topic = this.#parts.random.pick(this.#parts.topics);
    for (let i = 0; i < EphemeralClients.burstSize; i += 1) publisher.publish(topic);
  }

  #clients(kind: string, count: number): Client[] {
    const { port, clock, random, edges } = this.#parts;
    return Array.from({ length: count }, (_, i) => {
      const session = `passing-${kind}-${i + 1}`;
      return new Client({ session, port, clock, draw: () => random.draw(), history: this.#history, nodes: edges });
    });
  }
}
