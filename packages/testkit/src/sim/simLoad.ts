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

/** Clients and operators that use a simulated fleet. */
export class SimLoad {
  /** The largest payload of the users' protocol. */
  static readonly largePayloadBytes = 16 * 1024;
  /** Payloads that are drawn with this prefix, one in sixteen, get the largest size. */
  static readonly largePayloadPrefix = "0";

  readonly history = new History();
  readonly clients: Client[] = [];
  readonly #fleet: SimFleet;
  readonly #random: SimRandom;
  readonly #clock: SimClock;
  readonly #zones = new Map<string, string>();
  #isPublishing = false;
  #version = 0;
  /** Edges that all clients must connect to; empty if each client chooses. */
  #forcedEdges: readonly string[] = [];
  /** Machines that are not started at the beginning. */
  lateMachines: readonly string[] = [];
  #noteTopics = 6;
  #publishFactor = 1;

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
    spaces: readonly string[] = SimConfigurations.allSpaceNames,
  ): { version: number; spaces: object[] } {
    return SimConfigurations.write(version, SimConfigurations.usual(), spaces);
  }

  get nextVersion(): number {
    return (this.#version += 1);
  }

  /** An operator's PUT of a configuration, retried until it has a final reply; returns its status, or 0 without one. */
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

  async start(clients: number, topics = 6, lateMachines: readonly string[] = []): Promise<boolean> {
    this.lateMachines = lateMachines;
    for (const name of this.#fleet.names) if (!lateMachines.includes(name)) this.#fleet.start(name);
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
        nodes: () => this.#edgesFor(session),
      });
      this.clients.push(client);
      const wanted = new Set([
        ...Array.from({ length: 2 }, () => this.#topicOf("notices")),
        ...Array.from({ length: 3 }, () => `notes/t${Math.floor(this.#random.draw() * topics)}`),
        this.#topicOf("extra"),
      ]);
      client.start([...wanted]);
    }
    this.#noteTopics = topics;
    if (clients > 0) this.#clock.every(200, () => void this.#recordShownVersion());
    return this.#fleet.until(() => this.clients.every((client) => client.isFullySubscribed), 25_000);
  }

  /** Clients of the spaces that retain nothing, with a random generator of their own. */
  ephemeralClients(): EphemeralClients {
    const fleet = this.#fleet;
    return new EphemeralClients({
      port: fleet.port,
      clock: this.#clock,
      random: new SimRandom(fleet.world.seed),
      edges: () => fleet.withRole("vise").filter((name) => fleet.find(name) !== undefined),
      topics: ["passing", "live"].flatMap((space) =>
        Array.from({ length: SimConfigurations.topics[space]! }, (_, i) => `${space}/t${i}`),
      ),
      hasOneOrder: (topic) => topic.startsWith("live/"),
      readers: 4,
      publishers: 2,
      perSecond: 32,
    });
  }

  /** Publishes at this rate until `finishPublishes`. */
  startPublishing(perSecond: number): void {
    this.#isPublishing = true;
    const timer = this.#clock.every(1000 / perSecond, () => {
      if (!this.#isPublishing) return timer.stop();
      for (let i = 0; i < this.#publishFactor; i += 1) this.#publishOne();
    });
  }

  /** Multiplies the publish rate. */
  setPublishFactor(times: number): void {
    this.#publishFactor = times;
  }

  #publishOne(): void {
    const drawn = this.#random.draw();
    const space = drawn < 0.25 ? "notices" : drawn < 0.4 ? "extra" : "notes";
    const client =
      space === "notices" ? this.clients[Math.floor(this.#random.draw() * 2)]! : this.#random.pick(this.clients);
    const payload = this.#random.identity();
    const isLarge = payload.startsWith(SimLoad.largePayloadPrefix);
    void client.publish(this.#topicOf(space), isLarge ? payload.padEnd(SimLoad.largePayloadBytes, "x") : payload);
  }

  /** Every client publishes once more, and every subscriber must receive it. */
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
    const topics = space === "notes" ? this.#noteTopics : SimConfigurations.topics[space]!;
    return `${space}/t${Math.floor(this.#random.draw() * topics)}`;
  }

  /** Records which configuration version a random node's status shows. */
  async #recordShownVersion(): Promise<void> {
    const node = this.#random.pick(this.#fleet.names);
    const { status, body } = await this.#fleet.port.call(node, "GET", "/v1/status", undefined);
    const configuration = body["configuration"] as { version: number } | undefined;
    if (status === 200 && configuration !== undefined)
      this.history.add({ kind: "marked", at: this.#clock.now(), node, version: configuration.version });
  }

  /** From now on clients connect only to these edges; an empty list restores their own choice. */
  connectAllTo(edges: readonly string[]): void {
    this.#forcedEdges = edges;
  }

  /** An operator starts (PUT) or cancels (DELETE) the drain of a machine. */
  requestEmptying(method: "PUT" | "DELETE", machine: string): void {
    const node = this.#random.pick(this.#fleet.names);
    void this.#fleet.port.call(node, method, `/v1/machines/${machine}/emptying`, undefined);
  }

  async isEmptied(machine: string): Promise<boolean> {
    const node = this.#random.pick(this.#fleet.names);
    const path = `/v1/machines/${machine}/emptying`;
    const { status, body } = await this.#fleet.port.call(node, "GET", path, undefined);
    return status === 200 && body["isEmpty"] === true;
  }

  /** Restores the usual contracts, except that space `extra` keeps its present order, and cancels all drains. */
  async restore(): Promise<void> {
    for (const machine of this.#fleet.withRole("anvil")) this.requestEmptying("DELETE", machine);
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

  disconnectAll(): void {
    for (const client of this.clients) client.disconnectFor(this.#random.draw() * 300);
  }

  /** A share (0 to 1) of all clients moves to one zone. */
  moveToOneZone(share: number): void {
    const zone = this.#random.pick([...this.#zones.values()]);
    for (const client of this.clients) {
      if (this.#random.draw() >= share) continue;
      this.#zones.set(client.session, zone);
      client.disconnectFor(this.#random.draw() * 2000);
    }
  }

  moveOneClient(): void {
    const client = this.#random.pick(this.clients);
    this.#zones.set(client.session, this.#random.pick([...this.#zones.values()]));
    client.disconnectFor(this.#random.draw() * 2000);
  }

  /** Stops publishing; true if all clients are served and all publishes are settled within `timeoutMs`. */
  async finishPublishes(timeoutMs = 25_000): Promise<boolean> {
    this.#isPublishing = false;
    let isRestored = false;
    void this.restore().then(() => (isRestored = true));
    await this.#fleet.until(() => isRestored, timeoutMs);
    const isFinished = await this.#fleet.until(() => this.unsettledClients === "", timeoutMs);
    await this.#fleet.run(3000);
    return isFinished;
  }

  /** Readable list of the clients that lack a connection, subscriptions or replies; empty if none does. */
  get unsettledClients(): string {
    return this.clients
      .filter((client) => !client.isFullySubscribed || client.pendingPublishes > 0)
      .map((client) => `${client.session} (${client.isConnected ? "linked" : "away"}, ${client.pendingPublishes} open)`)
      .join(", ");
  }

  /** Reads the configuration back through any running node and records it in the history. */
  async readConfiguration(): Promise<void> {
    let isDone = false;
    void this.#recordConfigurationRead().then(() => void (isDone = true));
    await this.#fleet.until(() => isDone, 30_000);
  }

  async #recordConfigurationRead(): Promise<void> {
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

  #edgesFor(session: string): string[] {
    if (this.#forcedEdges.length > 0) return [...this.#forcedEdges];
    const edges = this.#fleet.withRole("vise").filter((name) => this.#fleet.find(name) !== undefined);
    const sameZone = edges.filter((name) => this.#fleet.zoneOf(name) === this.#zones.get(session));
    return sameZone.length > 0 && this.#random.draw() < 0.7 ? sameZone : edges;
  }
}
