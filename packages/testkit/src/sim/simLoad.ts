import { ConfigurationKey } from "@cranetrack/core/keys/configurationKey.js";
import { Configurations, type Configuration } from "@cranetrack/core/configuration/configuration.js";
import { ConfigurationSchema } from "@cranetrack/core/configuration/configurationSchema.js";
import { SimClock } from "./simClock.js";
import type { SimFleet } from "./simFleet.js";
import { SimRandom } from "./simRandom.js";
import { Client } from "../clients/client.js";
import { EphemeralClients } from "../clients/ephemeralClients.js";
import { Probe } from "../fleet/probe.js";
import { SimConfigurations } from "./simConfigurations.js";
import { History } from "../checker/history.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Callers and operators against a simulated fleet. */
export class SimLoad {
  readonly history = new History();
  readonly clients: Client[] = [];
  readonly #fleet: SimFleet;
  readonly #random: SimRandom;
  readonly #clock: SimClock;
  readonly #zones = new Map<string, string>();
  #isPlaying = false;
  #version = 0;
  /** Edges that everybody comes to just now; empty for each caller's own choice. */
  #crowded: readonly string[] = [];
  /** Machines that were not there at the beginning. */
  later: readonly string[] = [];
  #topics = 6;
  #haste = 1;

  constructor(fleet: SimFleet) {
    this.#fleet = fleet;
    this.#random = fleet.world.random.fork();
    this.#clock = new SimClock(fleet.world, { isDead: false, pausedUntil: 0 });
    fleet.port.onAnswer.add(({ method, path, status, text }) => {
      if (method !== "PUT" || path !== "/v1/plan" || status !== 200) return;
      const version = ConfigurationKey.versionOf(Buffer.from(text));
      this.history.add({ kind: "planTaken", at: this.#clock.now(), version, text });
    });
  }

  static configuration(
    version: number,
    spaces: readonly string[] = SimConfigurations.all,
  ): { version: number; spaces: object[] } {
    return SimConfigurations.write(version, SimConfigurations.usual(), spaces);
  }

  get nextVersion(): number {
    return (this.#version += 1);
  }

  /** An operator's put, tried again until it has a final reply. */
  async proposeConfiguration(configuration: { version: number; spaces?: unknown }, first?: string): Promise<number> {
    const text = documentTextOf(configuration);
    const { version } = configuration;
    for (let tries = 0; tries < 100; tries += 1) {
      this.history.add({ kind: "planTried", at: this.#clock.now(), version, text });
      const drawn = this.#random.pick(this.#fleet.names);
      const reply = await this.#fleet.port.call(tries === 0 ? (first ?? drawn) : drawn, "PUT", "/v1/plan", text);
      const at = this.#clock.now();
      if (reply.status === 200) this.history.add({ kind: "planAccepted", at, version, text });
      else if (reply.status === 409) this.history.add({ kind: "planSuperseded", at, version, text });
      else if (reply.status === 422) this.history.add({ kind: "planRefused", at, version, text });
      if (reply.status !== 503 && reply.status !== 504 && reply.status !== 0) return reply.status;
      await new Promise<void>((resolve) => void this.#clock.once(300, resolve));
    }
    return 0;
  }

  async begin(clients: number, topics = 6, later: readonly string[] = []): Promise<boolean> {
    this.later = later;
    for (const name of this.#fleet.names) if (!later.includes(name)) this.#fleet.start(name);
    let isAccepted = false;
    await this.#fleet.run(3000);
    void this.proposeConfiguration(SimLoad.configuration(this.nextVersion)).then(
      (status) => void (isAccepted = status === 200),
    );
    if (!(await this.#fleet.until(() => isAccepted, 20_000))) return false;
    const zones = [...new Set(this.#fleet.names.map((name) => this.#fleet.zoneOf(name)))];
    for (let i = 0; i < clients; i += 1) {
      const session = i < 2 ? `sender-${i + 1}` : `caller-${i + 1}`;
      this.#zones.set(session, zones[i % zones.length]!);
      const client = new Client({
        session,
        port: this.#fleet.port,
        clock: this.#clock,
        draw: () => this.#random.draw(),
        history: this.history,
        nodes: () => this.#nodes(session),
      });
      this.clients.push(client);
      const wanted = new Set([
        ...Array.from({ length: 2 }, () => this.#topicOf("notices")),
        ...Array.from({ length: 3 }, () => `notes/t${Math.floor(this.#random.draw() * topics)}`),
        this.#topicOf("extra"),
      ]);
      client.start([...wanted]);
    }
    this.#topics = topics;
    if (clients > 0) this.#clock.every(200, () => void this.#lookAtVersion());
    return this.#fleet.until(() => this.clients.every((client) => client.isFullySubscribed), 25_000);
  }

  /** Callers of the space that keeps nothing, with draws of their own. */
  ephemeralClients(): EphemeralClients {
    const fleet = this.#fleet;
    return new EphemeralClients({
      port: fleet.port,
      clock: this.#clock,
      random: new SimRandom(fleet.world.seed),
      edges: () => fleet.withRole("vise").filter((name) => fleet.find(name) !== undefined),
      topics: Array.from({ length: SimConfigurations.topics["passing"]! }, (_, i) => `passing/t${i}`),
      readers: 4,
      publishers: 2,
      perSecond: 32,
    });
  }

  /** Publishes at a rate until stopped. */
  play(perSecond: number): void {
    this.#isPlaying = true;
    const timer = this.#clock.every(1000 / perSecond, () => {
      if (!this.#isPlaying) return timer.stop();
      for (let i = 0; i < this.#haste; i += 1) this.#publishOne();
    });
  }

  /** So many times as many messages. */
  hurry(times: number): void {
    this.#haste = times;
  }

  #publishOne(): void {
    const drawn = this.#random.draw();
    const space = drawn < 0.25 ? "notices" : drawn < 0.4 ? "extra" : "notes";
    const client =
      space === "notices" ? this.clients[Math.floor(this.#random.draw() * 2)]! : this.#random.pick(this.clients);
    void client.publish(this.#topicOf(space), this.#random.identity());
  }

  /** Every caller publishes once more, and every reader is to receive it. */
  probe(): Probe {
    return new Probe({
      history: this.history,
      clients: this.clients,
      draw: () => this.#random.draw(),
      now: () => this.#clock.now(),
      publishableTopics: ({ session }) =>
        session.startsWith("sender") ? ["notices/t0", "notices/t1"] : [this.#topicOf("notes"), this.#topicOf("extra")],
    });
  }

  #topicOf(space: string): string {
    const topics = space === "notes" ? this.#topics : SimConfigurations.topics[space]!;
    return `${space}/t${Math.floor(this.#random.draw() * topics)}`;
  }

  /** What some node shows as the configuration in force. */
  async #lookAtVersion(): Promise<void> {
    const node = this.#random.pick(this.#fleet.names);
    const { status, body } = await this.#fleet.port.call(node, "GET", "/v1/status", undefined);
    const configuration = body["configuration"] as { version: number } | undefined;
    if (status === 200 && configuration !== undefined)
      this.history.add({ kind: "marked", at: this.#clock.now(), node, version: configuration.version });
  }

  /** All callers come to these edges until told otherwise. */
  crowdAt(edges: readonly string[]): void {
    this.#crowded = edges;
  }

  /** An operator's wish to have a machine emptied, or that wish taken back. */
  ask(method: "PUT" | "DELETE", machine: string): void {
    const node = this.#random.pick(this.#fleet.names);
    void this.#fleet.port.call(node, method, `/v1/machines/${machine}/emptying`, undefined);
  }

  async isEmptied(machine: string): Promise<boolean> {
    const node = this.#random.pick(this.#fleet.names);
    const path = `/v1/machines/${machine}/emptying`;
    const { status, body } = await this.#fleet.port.call(node, "GET", path, undefined);
    return status === 200 && body["isEmpty"] === true;
  }

  /** The usual contracts in force again, whatever order the third space has now, and no machine to be emptied. */
  async restore(): Promise<void> {
    for (const machine of this.#fleet.withRole("anvil")) this.ask("DELETE", machine);
    for (let tries = 0; tries < 20; tries += 1) {
      const spaces = SimConfigurations.usual();
      const order = Configurations.orderOf(await this.#configurationInForce(), "extra/");
      if (order !== undefined) spaces["extra"]![0]!.contract["order"] = order;
      if ((await this.proposeConfiguration(SimConfigurations.write(this.nextVersion, spaces))) === 200) return;
    }
  }

  async #configurationInForce(): Promise<Configuration | undefined> {
    for (let tries = 0; tries < 50; tries += 1) {
      const node = this.#random.pick(this.#fleet.names);
      const reply = await this.#fleet.port.call(node, "GET", "/v1/plan", undefined);
      if (reply.status !== 200) await new Promise<void>((resolve) => void this.#clock.once(300, resolve));
      else {
        const read = ConfigurationSchema.read(JSON.parse(String(reply.body["raw"])));
        return "configuration" in read ? read.configuration : undefined;
      }
    }
    return undefined;
  }

  dropAll(): void {
    for (const client of this.clients) client.disconnectFor(this.#random.draw() * 300);
  }

  /** A share of all callers comes to one zone. */
  shift(share: number): void {
    const zone = this.#random.pick([...this.#zones.values()]);
    for (const client of this.clients) {
      if (this.#random.draw() >= share) continue;
      this.#zones.set(client.session, zone);
      client.disconnectFor(this.#random.draw() * 2000);
    }
  }

  moveOne(): void {
    const client = this.#random.pick(this.clients);
    this.#zones.set(client.session, this.#random.pick([...this.#zones.values()]));
    client.disconnectFor(this.#random.draw() * 2000);
  }

  /** Stops sending; true where all callers are served again and all publishes settled by the due. */
  async finishPublishes(timeoutMs = 25_000): Promise<boolean> {
    this.#isPlaying = false;
    let isRestored = false;
    void this.restore().then(() => (isRestored = true));
    await this.#fleet.until(() => isRestored, timeoutMs);
    const isFinished = await this.#fleet.until(() => this.unsettled === "", timeoutMs);
    await this.#fleet.run(3000);
    return isFinished;
  }

  /** Callers without a connection, topics or replies, for people's eyes. */
  get unsettled(): string {
    return this.clients
      .filter((client) => !client.isFullySubscribed || client.pendingPublishes > 0)
      .map((client) => `${client.session} (${client.isConnected ? "linked" : "away"}, ${client.pendingPublishes} open)`)
      .join(", ");
  }

  /** Reads the configuration back through any node that runs. */
  async readConfiguration(): Promise<void> {
    let isDone = false;
    void this.#read().then(() => void (isDone = true));
    await this.#fleet.until(() => isDone, 30_000);
  }

  async #read(): Promise<void> {
    for (let tries = 0; tries < 30; tries += 1) {
      const running = this.#fleet.names.filter((name) => this.#fleet.find(name) !== undefined);
      const reply = await this.#fleet.port.call(this.#random.pick(running), "GET", "/v1/plan", undefined);
      if (reply.status === 200)
        return this.history.add({ kind: "planRead", at: this.#clock.now(), text: String(reply.body["raw"]) });
      if (reply.status === 404) break;
      await new Promise<void>((resolve) => void this.#clock.once(500, resolve));
    }
    this.history.add({ kind: "planLost", at: this.#clock.now(), why: "the plan could not be read back" });
  }

  #nodes(session: string): string[] {
    if (this.#crowded.length > 0) return [...this.#crowded];
    const edges = this.#fleet.withRole("vise").filter((name) => this.#fleet.find(name) !== undefined);
    const near = edges.filter((name) => this.#fleet.zoneOf(name) === this.#zones.get(session));
    return near.length > 0 && this.#random.draw() < 0.7 ? near : edges;
  }
}
