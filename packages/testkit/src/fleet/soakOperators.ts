import type { AcceptedChange, ConfigurationRead } from "../checker/configurationReads.js";
import type { Configuration } from "@cranetrack/core/configuration/configuration.js";
import type { History } from "../checker/history.js";
import type { SimRandom } from "../sim/simRandom.js";
import { Deployments } from "./deployments.js";
import type { Fleet } from "./fleet.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Operators of a soak: two that change the configuration, and readers that ask any control node at any moment. */
export class SoakOperators {
  static readonly changeMs = 500;
  static readonly readMs = 70;
  /** Spaces that some versions have and others don't. */
  static readonly addedSpaces: readonly string[] = ["added-1", "added-2", "added-3"];

  readonly #fleet: Fleet;
  readonly #random: SimRandom;
  readonly #now: () => number;
  readonly #history: History;
  readonly accepted: AcceptedChange[] = [];
  readonly reads: ConfigurationRead[] = [];
  /** Answers without a clear outcome: a node that could not be sure, or was not there. */
  unknown = 0;
  /** Changes that were refused though nothing stood in their way, and what the answer said. */
  readonly refused: string[] = [];
  #version: number;
  #isOver = false;

  constructor(fleet: Fleet, random: SimRandom, now: () => number, history: History, version: number) {
    this.#fleet = fleet;
    this.#random = random;
    this.#now = now;
    this.#history = history;
    this.#version = version;
  }

  /** Works until `stop`; resolves when all that was asked is answered. */
  async run(): Promise<void> {
    await Promise.all([this.#change(), this.#change(), this.#read(), this.#read(), this.#read()]);
  }

  stop(): void {
    this.#isOver = true;
  }

  /** What some node says is in force, asked until one is sure; undefined where none is for too long. */
  async readBack(timeoutMs: number): Promise<number | undefined> {
    const end = this.#now() + timeoutMs;
    while (this.#now() < end) {
      const version = await this.#readOnce();
      if (version !== undefined) return version;
    }
    return undefined;
  }

  async #change(): Promise<void> {
    while (!this.#isOver) {
      await this.#wait(this.#random.between(0.5, 1.5) * SoakOperators.changeMs);
      await this.#put((this.#version += 1));
    }
  }

  /** One change, sent again to any node until its fate is clear or a later one may have overtaken it for long. */
  async #put(version: number): Promise<void> {
    const text = documentTextOf(this.#configurationOf(version));
    const about = { version, text };
    for (let tries = 0; tries < 20 && !this.#isOver; tries += 1) {
      this.#history.add({ kind: "planTried", at: performance.now(), ...about });
      const { status, body } = await this.#fleet.call(this.#node(), "PUT", "/v1/plan", text);
      if (status === 200) {
        this.#history.add({ kind: "planAccepted", at: performance.now(), ...about });
        return void this.accepted.push({ version, at: this.#now() });
      }
      // Without a document a version below the one in force is refused as stale.
      if (status === 409) return;
      if (status !== 0 && status < 500) return void this.refused.push(`${version}: ${JSON.stringify(body["error"])}`);
      this.unknown += 1;
      await this.#wait(100);
    }
  }

  /** The deployment's spaces, and some that come and go from version to version. */
  #configurationOf(version: number): Configuration {
    const configuration = Deployments.configuration(this.#fleet.deployment, version);
    const contract = { keep: 60, order: "sender" as const, fault_budget: {} };
    const added = SoakOperators.addedSpaces.filter((_, i) => (version * (i + 3)) % 5 < 3);
    return {
      ...configuration,
      spaces: [...configuration.spaces, ...added.map((name) => ({ name, program: [{ when: {}, contract }] }))],
    };
  }

  async #read(): Promise<void> {
    while (!this.#isOver) {
      await this.#wait(this.#random.between(0.5, 1.5) * SoakOperators.readMs);
      await this.#readOnce();
    }
  }

  async #readOnce(): Promise<number | undefined> {
    const node = this.#node();
    const askedAt = this.#now();
    const { status, body } = await this.#fleet.call(node, "GET", "/v1/plan");
    if (status !== 200) {
      this.unknown += 1;
      await this.#wait(50);
      return undefined;
    }
    const version = Number(body["mark"]);
    this.reads.push({ node, askedAt, answeredAt: this.#now(), version });
    return version;
  }

  #node(): string {
    return this.#random.pick(this.#fleet.withRole("lathe"));
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, ms));
  }
}
