import type { AcceptedChange, ConfigurationRead } from "../checker/configurationReads.js";
import type { Configuration } from "@cranetrack/core/configuration/configuration.js";
import type { History } from "../checker/history.js";
import type { SimRandom } from "../sim/simRandom.js";
import { Deployments } from "./deployments.js";
import type { Fleet } from "./fleet.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** The operators of a soak: two that change the configuration, and three that read it from random control nodes. */
export class SoakOperators {
  /** Mean pause of an operator between two changes. */
  static readonly changeIntervalMs = 500;
  /** Mean pause of a reader between two reads. */
  static readonly readIntervalMs = 70;
  /** Spaces that some versions have and others do not. */
  static readonly addedSpaces: readonly string[] = ["added-1", "added-2", "added-3"];

  readonly #fleet: Fleet;
  readonly #random: SimRandom;
  readonly #now: () => number;
  readonly #history: History;
  readonly acceptedChanges: AcceptedChange[] = [];
  readonly reads: ConfigurationRead[] = [];
  /** Number of requests without a definite outcome: the node was unsure or did not answer. */
  unknownOutcomes = 0;
  /** Valid changes that were refused, with the error of the answer. */
  readonly refusedChanges: string[] = [];
  #version: number;
  #isStopped = false;

  constructor(fleet: Fleet, random: SimRandom, now: () => number, history: History, version: number) {
    this.#fleet = fleet;
    this.#random = random;
    this.#now = now;
    this.#history = history;
    this.#version = version;
  }

  /** Sends requests until `stop`; resolves once all of them are answered. */
  async run(): Promise<void> {
    await Promise.all([
      this.#changeRepeatedly(),
      this.#changeRepeatedly(),
      this.#readRepeatedly(),
      this.#readRepeatedly(),
      this.#readRepeatedly(),
    ]);
  }

  /** Ends the operators' loops after their current request. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads the version in force from random control nodes until one answers; undefined if `timeoutMs` pass before. */
  async readBack(timeoutMs: number): Promise<number | undefined> {
    const end = this.#now() + timeoutMs;
    while (this.#now() < end) {
      const version = await this.#readOnce();
      if (version !== undefined) return version;
    }
    return undefined;
  }

  async #changeRepeatedly(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wait(this.#random.between(0.5, 1.5) * SoakOperators.changeIntervalMs);
      await this.#putUntilDecided((this.#version += 1));
    }
  }

  /** Sends one change to random control nodes until its outcome is known, for at most 20 attempts. */
  async #putUntilDecided(version: number): Promise<void> {
    const text = documentTextOf(this.#configurationOf(version));
    const change = { version, text };
    for (let tries = 0; tries < 20 && !this.#isStopped; tries += 1) {
      this.#history.add({ kind: "planTried", at: performance.now(), ...change });
      const { status, body } = await this.#fleet.call(this.#randomControlNode(), "PUT", "/v1/plan", text);
      if (status === 200) {
        this.#history.add({ kind: "planAccepted", at: performance.now(), ...change });
        return void this.acceptedChanges.push({ version, at: this.#now() });
      }
      // If sent without a document, a version below the one in force is refused as stale.
      if (status === 409) return;
      if (status !== 0 && status < 500)
        return void this.refusedChanges.push(`${version}: ${JSON.stringify(body["error"])}`);
      this.unknownOutcomes += 1;
      await this.#wait(100);
    }
  }

  /** The deployment's spaces, and added ones that depend on the version. */
  #configurationOf(version: number): Configuration {
    const configuration = Deployments.configuration(this.#fleet.deployment, version);
    const contract = { keep: 60, order: "sender" as const, fault_budget: {} };
    const added = SoakOperators.addedSpaces.filter((_, i) => (version * (i + 3)) % 5 < 3);
    return {
      ...configuration,
      spaces: [...configuration.spaces, ...added.map((name) => ({ name, program: [{ when: {}, contract }] }))],
    };
  }

  async #readRepeatedly(): Promise<void> {
    while (!this.#isStopped) {
      await this.#wait(this.#random.between(0.5, 1.5) * SoakOperators.readIntervalMs);
      await this.#readOnce();
    }
  }

  async #readOnce(): Promise<number | undefined> {
    const node = this.#randomControlNode();
    const askedAt = this.#now();
    const { status, body } = await this.#fleet.call(node, "GET", "/v1/plan");
    if (status !== 200) {
      this.unknownOutcomes += 1;
      await this.#wait(50);
      return undefined;
    }
    const version = Number(body["mark"]);
    this.reads.push({ node, askedAt, answeredAt: this.#now(), version });
    return version;
  }

  #randomControlNode(): string {
    return this.#random.pick(this.#fleet.withRole("lathe"));
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
