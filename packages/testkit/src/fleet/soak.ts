import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import { Client } from "../callers/caller.js";
import { EphemeralClients } from "../callers/passingCallers.js";
import type { Breach } from "../checker/checker.js";
import { checkReads } from "../checker/configurationReads.js";
import { SimRandom } from "../sim/simRandom.js";
import type { Deployment } from "./deployments.js";
import type { Fleet } from "./fleet.js";
import { Load } from "./load.js";
import { SoakOperators } from "./soakOperators.js";
import { SoakFaultInjector, type Trouble } from "./soakTroubles.js";

/** Any troubles, or disks lost one after the other as soon as the users may. */
export type SoakProfile = "any" | "disks";
export interface SoakReport {
  seed: number;
  breaches: Breach[];
  faults: readonly Trouble[];
  accepted: number;
  received: number;
  passed: number;
  changes: number;
  reads: number;
  unknown: number;
  /** Milliseconds from the end of all troubles until every caller's message reached its readers. */
  backMs: number;
}
/**
 * Real processes under random troubles that overlap: callers that publish and read kept topics one by one and passing
 * topics without waiting, operators that change and read the configuration anywhere. Everything that they saw is
 * judged, and what the processes themselves counted as violated.
 */
export class Soak {
  static readonly backMs = 20_000;
  static readonly probeMs = 120;
  static readonly maxProbes = 4;

  readonly #fleet: Fleet;
  readonly #load: Load;
  readonly #seed: number;
  readonly #random: SimRandom;
  readonly #clock = new HostClock();
  readonly #breaches: Breach[] = [];

  constructor(fleet: Fleet, seed: number) {
    this.#fleet = fleet;
    this.#load = new Load(fleet);
    this.#seed = seed;
    this.#random = new SimRandom(seed);
  }

  async run(seconds: number, profile: SoakProfile = "any"): Promise<SoakReport> {
    const startedAt = this.#clock.now();
    const now = (): number => this.#clock.now() - startedAt;
    // A store that was founded once is not founded anew, however many disks were lost: that would hide the loss.
    for (const name of this.#fleet.withRole("lathe")) this.#fleet.changeSettings(name, { mayFound: false });
    await this.#load.begin();
    const ephemeralClients = this.#ephemeralClients(this.#fleet.deployment);
    ephemeralClients?.begin();
    this.#load.play();
    const operators = new SoakOperators(
      this.#fleet,
      this.#random.fork(),
      now,
      this.#load.history,
      await this.#load.versionInForce(),
    );
    const operating = operators.run();
    const prober = this.#beginProbing();
    const faults = new SoakFaultInjector(this.#fleet, this.#random.fork(), now);
    const until = now() + seconds * 1000;
    await (profile === "any" ? faults.rage(until) : faults.loseDisks(until));
    const backMs = await this.#back();
    operators.stop();
    await operating;
    await this.#readBack(operators);
    prober.stop();
    ephemeralClients?.end();
    const report = await this.#load.end();
    this.#breaches.push(...report.breaches, ...checkReads(operators.accepted, operators.reads));
    this.#breaches.push(...(ephemeralClients?.judge() ?? []));
    for (const text of operators.refused) this.#breach("change-refused", text);
    for (const text of this.#fleet.fallen) this.#breach("process-ended", text);
    for (const text of this.#fleet.logLines(InvariantMonitor.logText)) this.#breach("invariant", text);
    return {
      seed: this.#seed,
      breaches: this.#breaches,
      faults: faults.done,
      accepted: report.accepted,
      received: report.deliveries,
      passed: ephemeralClients?.received ?? 0,
      changes: operators.accepted.length,
      reads: operators.reads.length,
      unknown: operators.unknown,
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
    const isStable = (): boolean => this.#load.clients.every((client) => client.isSettled);
    while (!isStable() && this.#clock.now() - from < Soak.backMs) await this.#wait(20);
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
    const client = new Client({
      session: "prober",
      port: this.#fleet.port,
      clock: this.#clock,
      draw: () => this.#random.draw(),
      history: this.#load.history,
      nodes: () => this.#edges(),
    });
    client.start([]);
    const timer = this.#clock.every(Soak.probeMs, () => {
      if (client.isConnected && client.open < Soak.maxProbes)
        void client.publish(`${this.#random.pick(SoakOperators.addedSpaces)}/t0`, `probe ${this.#random.identity()}`);
    });
    return {
      stop: () => {
        timer.stop();
        client.stop();
      },
    };
  }

  #ephemeralClients({ passing: ephemeralClients }: Deployment): EphemeralClients | undefined {
    if (ephemeralClients === undefined) return undefined;
    const { space, topics, readers, senders, perSecond } = ephemeralClients;
    return new EphemeralClients({
      port: this.#fleet.port,
      clock: this.#clock,
      random: this.#random.fork(),
      edges: () => this.#edges(),
      topics: Array.from({ length: topics }, (_, i) => `${space}/t${i}`),
      readers,
      publishers: senders,
      perSecond,
    });
  }

  #edges(): string[] {
    return this.#fleet.withRole("vise").filter((name) => this.#fleet.isRunning(name));
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
