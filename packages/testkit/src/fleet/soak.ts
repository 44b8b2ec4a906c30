import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { InvariantMonitor } from "@cranetrack/core/runtime/invariantMonitor.js";
import { Client } from "../clients/client.js";
import { EphemeralClients } from "../clients/ephemeralClients.js";
import type { Breach } from "../checker/checker.js";
import { checkConfigurationReads } from "../checker/configurationReads.js";
import { SimRandom } from "../sim/simRandom.js";
import type { Deployment } from "./deployments.js";
import type { Fleet } from "./fleet.js";
import { Load } from "./load.js";
import { SoakOperators } from "./soakOperators.js";
import { SoakFaultInjector, type InjectedFault } from "./soakFaultInjector.js";

/** `any`: random faults; `disks`: one disk lost after the other at the users' shortest interval. */
export type SoakProfile = "any" | "disks";

/** The result of the soak of one seed; printed as JSON, with the lists as counts. */
export interface SoakReport {
  seed: number;
  breaches: Breach[];
  faults: readonly InjectedFault[];
  /** Messages accepted from the load's clients. */
  accepted: number;
  /** Deliveries to the load's readers. */
  received: number;
  /** Deliveries on topics without retention. */
  passed: number;
  /** Accepted configuration changes. */
  changes: number;
  reads: number;
  /** Operators' requests without a definite outcome. */
  unknown: number;
  /** Milliseconds from the end of all faults until a message of every client had reached its readers. */
  backMs: number;
}

/**
 * A soak of real processes under overlapping random faults. Clients publish and read retained topics, waiting for each
 * reply, and topics without retention, not waiting; operators change and read the configuration at any node. Checks
 * everything they observed, and the invariant violations that the processes logged.
 */
export class Soak {
  /** How long recovery may take after the last fault. */
  static readonly maxRecoveryMs = 20_000;
  /** Interval of publishes in the added spaces. */
  static readonly probeIntervalMs = 120;
  /** How many of them may be waiting for a reply. */
  static readonly maxPendingProbes = 4;

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

  /** Injects faults for `seconds`, waits for recovery and runs all checks. */
  async run(seconds: number, profile: SoakProfile = "any"): Promise<SoakReport> {
    const startedAt = this.#clock.now();
    const now = (): number => this.#clock.now() - startedAt;
    // Once founded, the store must not be founded again, however many disks are lost: that would hide the loss.
    for (const name of this.#fleet.withRole("lathe")) this.#fleet.changeSettings(name, { mayFound: false });
    await this.#load.connectClients();
    const ephemeralClients = this.#ephemeralClients(this.#fleet.deployment);
    ephemeralClients?.start();
    this.#load.startTraffic();
    const operators = new SoakOperators(
      this.#fleet,
      this.#random.fork(),
      now,
      this.#load.history,
      await this.#load.versionInForce(),
    );
    const operating = operators.run();
    const prober = this.#startProbing();
    const faults = new SoakFaultInjector(this.#fleet, this.#random.fork(), now);
    const until = now() + seconds * 1000;
    await (profile === "any" ? faults.injectUntil(until) : faults.wipeDisksUntil(until));
    const backMs = await this.#waitUntilServed();
    operators.stop();
    await operating;
    await this.#checkConfigurationReadable(operators);
    prober.stop();
    ephemeralClients?.stop();
    const report = await this.#load.finish();
    this.#breaches.push(...report.breaches, ...checkConfigurationReads(operators.acceptedChanges, operators.reads));
    this.#breaches.push(...(ephemeralClients?.check() ?? []));
    for (const text of operators.refusedChanges) this.#breach("change-refused", text);
    for (const text of this.#fleet.unexpectedExits) this.#breach("process-ended", text);
    for (const text of this.#fleet.logLines(InvariantMonitor.logText)) this.#breach("invariant", text);
    return {
      seed: this.#seed,
      breaches: this.#breaches,
      faults: faults.injected,
      accepted: report.accepted,
      received: report.deliveries,
      passed: ephemeralClients?.received ?? 0,
      changes: operators.acceptedChanges.length,
      reads: operators.reads.length,
      unknown: operators.unknownOutcomes,
      backMs: Math.round(backMs),
    };
  }

  /** Stops the load after a failed run. */
  halt(): void {
    this.#load.halt();
  }

  #breach(rule: string, text: string): void {
    this.#breaches.push({ rule, at: this.#clock.now(), text });
  }

  /** Waits until a message of every client has reached its readers; resolves with the milliseconds that took. */
  async #waitUntilServed(): Promise<number> {
    const recoveryStart = this.#clock.now();
    this.#load.isDisconnectPaused = true;
    const areAllSubscribed = (): boolean => this.#load.clients.every((client) => client.isFullySubscribed);
    while (!areAllSubscribed() && this.#clock.now() - recoveryStart < Soak.maxRecoveryMs) await this.#wait(20);
    const probe = this.#load.probe();
    while (!probe.isRecovered && this.#clock.now() - recoveryStart < Soak.maxRecoveryMs) await this.#wait(20);
    if (!probe.isRecovered)
      this.#breach(
        "service-back",
        `not every client is served ${Soak.maxRecoveryMs} ms after the last fault: ${probe.missing}`,
      );
    return this.#clock.now() - recoveryStart;
  }

  async #checkConfigurationReadable(operators: SoakOperators): Promise<void> {
    if ((await operators.readBack(Soak.maxRecoveryMs)) === undefined)
      this.#breach("configuration-unread", `no node could read the configuration for ${Soak.maxRecoveryMs} ms`);
  }

  /** Publishes in the spaces that are added and removed; the checker judges the replies by the versions in force. */
  #startProbing(): { stop(): void } {
    const client = new Client({
      session: "prober",
      port: this.#fleet.clientPort,
      clock: this.#clock,
      draw: () => this.#random.draw(),
      history: this.#load.history,
      nodes: () => this.#edges(),
    });
    client.start([]);
    const timer = this.#clock.every(Soak.probeIntervalMs, () => {
      if (client.isConnected && client.pendingPublishes < Soak.maxPendingProbes)
        void client.publish(`${this.#random.pick(SoakOperators.addedSpaces)}/t0`, `probe ${this.#random.identity()}`);
    });
    return {
      stop: () => {
        timer.stop();
        client.stop();
      },
    };
  }

  #ephemeralClients({ ephemeral }: Deployment): EphemeralClients | undefined {
    if (ephemeral === undefined) return undefined;
    const { space, topics, readers, senders, perSecond } = ephemeral;
    return new EphemeralClients({
      port: this.#fleet.clientPort,
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
