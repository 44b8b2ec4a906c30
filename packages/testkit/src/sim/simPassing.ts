import { Caller } from "../callers/caller.js";
import { PipelinedPublisher } from "../callers/pipelinedPublisher.js";
import type { Breach } from "../checker/checker.js";
import { History } from "../checker/history.js";
import { judgePassing } from "../checker/passingRules.js";
import type { SimClock } from "./simClock.js";
import type { SimFleet } from "./simFleet.js";
import { SimPlans } from "./simPlans.js";
import type { SimRandom } from "./simRandom.js";

interface PassingParts {
  fleet: SimFleet;
  clock: SimClock;
  chance: SimRandom;
}

/**
 * Callers of a space that keeps nothing: publishers that don't wait for one message before the next, and readers that
 * drop off and come back with their places, mostly at another edge. Judged by rules of their own.
 */
export class SimPassing {
  static readonly space = "passing";
  static readonly readers = 4;
  static readonly publishers = 2;
  static readonly burst = 3;
  static readonly burstMs = 120;
  static readonly dropMs = 900;

  readonly #parts: PassingParts;
  readonly #history = new History();
  readonly #readers: Caller[];
  readonly #senders: Caller[];
  readonly #publishers: PipelinedPublisher[];
  #stops: Array<() => void> = [];

  constructor(parts: PassingParts) {
    this.#parts = parts;
    const { fleet, clock } = parts;
    const named = (kind: string, count: number): Caller[] =>
      Array.from({ length: count }, (_, i) => this.#caller(`passing-${kind}-${i + 1}`));
    this.#readers = named("reader", SimPassing.readers);
    this.#senders = named("sender", SimPassing.publishers);
    this.#publishers = this.#senders.map(
      (caller) => new PipelinedPublisher({ caller, port: fleet.port, clock, history: this.#history }),
    );
  }

  /** Messages that came to readers. */
  get received(): number {
    return this.#history.seen.filter(({ kind }) => kind === "received").length;
  }

  begin(): void {
    const { clock, chance } = this.#parts;
    for (const reader of this.#readers) reader.start(SimPassing.#topics());
    for (const sender of this.#senders) sender.start([]);
    const bursts = clock.every(SimPassing.burstMs, () => this.#publish());
    const drops = clock.every(SimPassing.dropMs, () => chance.pick(this.#readers).dropOff(chance.between(0, 400)));
    this.#stops = [() => bursts.stop(), () => drops.stop()];
  }

  end(): void {
    for (const stop of this.#stops.splice(0)) stop();
    for (const caller of [...this.#readers, ...this.#senders]) caller.stop();
  }

  judge(): Breach[] {
    return judgePassing(this.#history.seen);
  }

  #publish(): void {
    const publisher = this.#parts.chance.pick(this.#publishers);
    const topic = this.#parts.chance.pick(SimPassing.#topics());
    for (let i = 0; i < SimPassing.burst; i += 1) publisher.publish(topic);
  }

  #caller(session: string): Caller {
    const { fleet, clock, chance } = this.#parts;
    return new Caller({
      session,
      port: fleet.port,
      clock,
      draw: () => chance.draw(),
      history: this.#history,
      nodes: () => fleet.withRole("vise").filter((name) => fleet.find(name) !== undefined),
    });
  }

  static #topics(): string[] {
    return Array.from({ length: SimPlans.topics[SimPassing.space]! }, (_, i) => `${SimPassing.space}/t${i}`);
  }
}
