import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import { Caller } from "../callers/caller.js";
import { PipelinedPublisher } from "../callers/pipelinedPublisher.js";
import type { Breach } from "../checker/checker.js";
import { judgeReads } from "../checker/configurationReads.js";
import { History } from "../checker/history.js";
import { judgePassing } from "../checker/passingRules.js";
import { SimRandom } from "../sim/simRandom.js";
import type { Deployment, PassingTopics } from "./deployments.js";
import type { Fleet } from "./fleet.js";
import { Load } from "./load.js";
import { SoakOperators } from "./soakOperators.js";
import { SoakTroubles, type Trouble } from "./soakTroubles.js";

/** Any troubles, or disks lost one after the other as soon as the users may. */
export type SoakProfile = "any" | "disks";
export interface SoakReport {
  seed: number;
  breaches: Breach[];
  troubles: readonly Trouble[];
  accepted: number;
  received: number;
  passed: number;
  changes: number;
  reads: number;
  unsure: number;
  /** Milliseconds from the end of all troubles until every caller's message reached its readers. */
  backMs: number;
}
interface Passing {
  readonly history: History;
  readonly callers: Caller[];
  readonly publishers: PipelinedPublisher[];
  stop(): void;
}

/**
 * Real processes under random troubles that overlap: callers that publish and read kept topics one by one and passing
 * topics without waiting, operators that change and read the configuration anywhere. Everything that they saw is
 * judged, and what the processes themselves counted as violated.
 */
export class Soak {
  static readonly backMs = 20_000;
  static readonly probeMs = 120;
  static readonly mostProbes = 4;

  readonly #fleet: Fleet;
  readonly #load: Load;
  readonly #seed: number;
  readonly #chance: SimRandom;
  readonly #clock = new HostClock();
  readonly #breaches: Breach[] = [];

  constructor(fleet: Fleet, seed: number) {
    this.#fleet = fleet;
    this.#load = new Load(fleet);
    this.#seed = seed;
    this.#chance = new SimRandom(seed);
  }

  async run(seconds: number, profile: SoakProfile = "any"): Promise<SoakReport> {
    const startedAt = this.#clock.now();
    const now = (): number => this.#clock.now() - startedAt;
    // A store that was founded once is not founded anew, however many disks were lost: that would hide the loss.
    for (const name of this.#fleet.withRole("lathe")) this.#fleet.changeSettings(name, { mayFound: false });
    await this.#load.begin();
    const passing = this.#beginPassing(this.#fleet.deployment);
    this.#load.play();
    const operators = new SoakOperators(
      this.#fleet,
      this.#chance.fork(),
      now,
      this.#load.history,
      await this.#load.markInForce(),
    );
    const operating = operators.run();
    const prober = this.#beginProbing();
    const troubles = new SoakTroubles(this.#fleet, this.#chance.fork(), now);
    const until = now() + seconds * 1000;
    await (profile === "any" ? troubles.rage(until) : troubles.loseDisks(until));
    const backMs = await this.#back();
    operators.stop();
    await operating;
    await this.#readBack(operators);
    prober.stop();
    passing?.stop();
    const report = await this.#load.end();
    this.#breaches.push(...report.breaches, ...judgeReads(operators.accepted, operators.reads));
    if (passing !== undefined) this.#breaches.push(...judgePassing(passing.history.seen));
    for (const text of operators.refused) this.#breach("change-refused", text);
    for (const text of this.#fleet.fallen) this.#breach("process-ended", text);
    for (const text of this.#fleet.logLines(InvariantMonitor.logText)) this.#breach("invariant", text);
    const received = passing?.history.seen.filter(({ kind }) => kind === "received").length ?? 0;
    return {
      seed: this.#seed,
      breaches: this.#breaches,
      troubles: troubles.done,
      accepted: report.accepted,
      received: report.receipts,
      passed: received,
      changes: operators.accepted.length,
      reads: operators.reads.length,
      unsure: operators.unsure,
      backMs: Math.round(backMs),
    };
  }

  halt(): void {
    this.#load.halt();
  }

  #breach(rule: string, text: string): void {
    this.#breaches.push({ rule, at: this.#clock.now(), text });
  }

  /** Until a message of every caller has reached its readers. */
  async #back(): Promise<number> {
    const from = this.#clock.now();
    this.#load.isCalm = true;
    const isSettled = (): boolean => this.#load.callers.every((caller) => caller.isSettled);
    while (!isSettled() && this.#clock.now() - from < Soak.backMs) await this.#wait(20);
    const probe = this.#load.probe();
    while (!probe.isBack && this.#clock.now() - from < Soak.backMs) await this.#wait(20);
    if (!probe.isBack)
      this.#breach(
        "service-back",
        `not everybody is served ${Soak.backMs} ms after the last trouble: ${probe.missing}`,
      );
    return this.#clock.now() - from;
  }

  async #readBack(operators: SoakOperators): Promise<void> {
    if ((await operators.readBack(Soak.backMs)) === undefined)
      this.#breach("configuration-unread", `no node was sure of the configuration for ${Soak.backMs} ms`);
  }

  /** Publishes in spaces that come and go: what is refused and accepted there is judged by the versions in force. */
  #beginProbing(): { stop(): void } {
    const caller = this.#caller("prober", this.#load.history);
    caller.start([]);
    const beat = this.#clock.every(Soak.probeMs, () => {
      if (caller.isLinked && caller.open < Soak.mostProbes)
        void caller.publish(`${this.#chance.pick(SoakOperators.addedSpaces)}/t0`, `probe ${this.#chance.identity()}`);
    });
    return {
      stop: () => {
        beat.stop();
        caller.stop();
      },
    };
  }

  #caller(session: string, history: History): Caller {
    return new Caller({
      session,
      port: this.#fleet.port,
      clock: this.#clock,
      draw: () => this.#chance.draw(),
      history,
      nodes: () => this.#fleet.withRole("vise").filter((name) => this.#fleet.isRunning(name)),
    });
  }

  #beginPassing({ passing }: Deployment): Passing | undefined {
    if (passing === undefined) return undefined;
    const history = new History();
    const add = (session: string, topics: readonly string[]): Caller => {
      const caller = this.#caller(session, history);
      caller.start(topics);
      return caller;
    };
    const topics = Array.from({ length: passing.topics }, (_, i) => `${passing.space}/t${i}`);
    const readers = Array.from({ length: passing.readers }, (_, i) => add(`passing-reader-${i}`, topics));
    const senders = Array.from({ length: passing.senders }, (_, i) => add(`passing-sender-${i}`, []));
    const publishers = senders.map(
      (caller) => new PipelinedPublisher({ caller, port: this.#fleet.port, clock: this.#clock, history }),
    );
    const beat = this.#playPassing(passing, topics, publishers);
    const callers = [...readers, ...senders];
    return { history, callers, publishers, stop: () => this.#endPassing(callers, beat) };
  }

  /** Bursts of several messages on one topic, so that some are always under way at once. */
  #playPassing(
    { perSecond }: PassingTopics,
    topics: readonly string[],
    publishers: readonly PipelinedPublisher[],
  ): { stop(): void } {
    const burst = 4;
    return this.#clock.every((1000 * burst) / perSecond, () => {
      const publisher = this.#chance.pick(publishers);
      const topic = this.#chance.pick(topics);
      for (let i = 0; i < burst; i += 1) publisher.publish(topic);
    });
  }

  #endPassing(callers: readonly Caller[], beat: { stop(): void }): void {
    beat.stop();
    for (const caller of callers) caller.stop();
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
