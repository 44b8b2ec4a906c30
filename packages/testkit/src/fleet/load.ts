import { HostRandom } from "@cranetrack/core/runtime/hostRandom.js";
import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { Checker, type Breach } from "../checker/checker.js";
import { Lateness } from "../checker/lateness.js";
import { History } from "../checker/history.js";
import { Deployments } from "./deployments.js";
import { Client } from "../callers/caller.js";
import { Probe } from "./probe.js";
import type { Fleet } from "./fleet.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

export interface LoadReport {
  sent: number;
  accepted: number;
  /** Of readers that were confirmed when the message was first tried. */
  deliveries: number;
  reconnects: number;
  p50: number;
  p99: number;
  max: number;
  above333: number;
  above2000: number;
  breaches: Breach[];
}

/** The brief's callers against a real fleet: senders at their rates, readers, drop-offs and zone moves. */
export class Load {
  readonly #fleet: Fleet;
  readonly #clock = new HostClock();
  readonly #random = new HostRandom();
  readonly history = new History();
  readonly clients: Client[] = [];
  readonly #zoneOf = new Map<string, string>();
  /** No caller drops off of its own accord, so that a recovery can be timed. */
  isCalm = false;
  #stops: Array<() => void> = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async proposeConfiguration(configuration: { version: number }): Promise<void> {
    const text = documentTextOf(configuration);
    this.history.add({ kind: "planTried", at: this.#clock.now(), version: configuration.version, text });
    for (;;) {
      const reply = await this.#fleet.call(this.#fleet.withRole("vise")[0]!, "PUT", "/v1/plan", text);
      if (reply.status === 200) break;
      if (reply.status < 500) throw new Error(`the plan was refused: ${JSON.stringify(reply.body)}`);
      await this.#wait(300);
    }
    this.history.add({ kind: "planAccepted", at: this.#clock.now(), version: configuration.version, text });
  }

  /** Configuration, callers, confirmations. */
  async begin(share = 1): Promise<void> {
    const { deployment } = this.#fleet;
    await this.proposeConfiguration(Deployments.configuration(deployment, (await this.versionInForce()) + 1));
    await this.#wait(1500);
    const { shared, broadcast } = deployment;
    for (let i = 0; i < deployment.connections * share; i += 1) {
      const session = i < broadcast.senders ? `sender-${i + 1}` : `caller-${i + 1}`;
      this.#zoneOf.set(session, deployment.zones[i % deployment.zones.length]!);
      const client = new Client({
        session,
        port: this.#fleet.port,
        clock: this.#clock,
        draw: () => this.#random.draw(),
        history: this.history,
        nodes: () => this.#nodes(session),
      });
      this.clients.push(client);
      const topics = new Set([...this.#topics(shared), ...this.#topics(broadcast)]);
      client.start([...topics]);
      if (i % 20 === 19) await this.#wait(20);
    }
    for (let tries = 0; tries < 300 && !this.clients.every((client) => client.isSettled); tries += 1)
      await this.#wait(100);
    const unsettled = this.clients.filter((client) => !client.isSettled).length;
    if (unsettled > 0) throw new Error(`${unsettled} callers have no confirmed link after 30 s`);
  }

  /**
   * Milliseconds from a configuration's acceptance until every node has acknowledged it, for several configurations in
   * turn.
   */
  async takeUps(count: number): Promise<number[]> {
    const taken: number[] = [];
    for (let i = 0; i < count; i += 1) {
      await this.proposeConfiguration(
        Deployments.configuration(this.#fleet.deployment, (await this.versionInForce()) + 1),
      );
      const acceptedAt = this.#clock.now();
      for (;;) {
        const { body } = await this.#fleet.call(this.#fleet.withRole("lathe")[0]!, "GET", "/v1/plan/rollout");
        if (body["taken"] === body["of"] || this.#clock.now() - acceptedAt > 10_000) break;
        await this.#wait(20);
      }
      taken.push(Math.round(this.#clock.now() - acceptedAt));
    }
    return taken;
  }

  /** The version that an edge reads as the one in force; 0 where it can read none. */
  async versionInForce(): Promise<number> {
    const read = await this.#fleet.call(this.#fleet.withRole("vise")[0]!, "GET", "/v1/plan");
    return read.status === 200 ? Number(read.body["mark"]) : 0;
  }

  /** Starts the senders and the drop-offs. */
  play(share = 1): void {
    const { shared, broadcast } = this.#fleet.deployment;
    this.#every(1000 / (shared.perSecond * share), () =>
      this.#publish(this.#any(this.clients), shared.space, shared.topics),
    );
    this.#every(1000 / (broadcast.perSecond * share), () =>
      this.#publish(
        this.clients[Math.floor(this.#random.draw() * broadcast.senders)]!,
        broadcast.space,
        broadcast.topics,
      ),
    );
    this.#every(700, () => this.isCalm || this.#any(this.clients).dropOff(200 + this.#random.draw() * 3000));
    this.#every(2500, () => this.isCalm || this.#move(this.#any(this.clients)));
  }

  /** Operators send several configurations at once, at different nodes; one is stale and one is broken. */
  async changeConfiguration(): Promise<void> {
    const { deployment } = this.#fleet;
    const version = await this.versionInForce();
    const edges = this.#fleet.withRole("vise");
    const stray = [documentTextOf(Deployments.configuration(deployment, version)), '{"mark": 1e9, "spaces": 7}'];
    const sent = stray.map((text, i) => this.#fleet.call(edges[i % edges.length]!, "PUT", "/v1/plan", text));
    for (let i = 1; i <= 3; i += 1) await this.proposeConfiguration(Deployments.configuration(deployment, version + i));
    await Promise.all(sent);
  }

  /** Everybody comes to one zone, and stays there until moved again. */
  moveAll(): void {
    const zone = this.#any(this.#fleet.deployment.zones);
    for (const client of this.clients) {
      this.#zoneOf.set(client.session, zone);
      client.dropOff(this.#random.draw() * 500);
    }
  }

  /** Nearly all at once. */
  resetAll(): void {
    for (const client of this.clients) if (this.#random.draw() < 0.95) client.dropOff(this.#random.draw() * 500);
  }

  /** Ends everything at once, whatever state it is in. */
  halt(): void {
    for (const stop of this.#stops.splice(0)) stop();
    for (const client of this.clients) client.stop();
  }

  /** Stops sending, waits until everything is settled and delivered, and judges. */
  async end(): Promise<LoadReport> {
    for (const stop of this.#stops.splice(0)) stop();
    for (
      let tries = 0;
      tries < 250 && !this.clients.every((client) => client.isSettled && client.open === 0);
      tries += 1
    )
      await this.#wait(100);
    await this.#wait(3000);
    const endAt = this.#clock.now();
    const read = await this.#fleet.call(this.#fleet.withRole("vise")[0]!, "GET", "/v1/plan");
    if (read.status === 200) this.history.add({ kind: "planRead", at: endAt, text: String(read.body["raw"]) });
    else this.history.add({ kind: "planLost", at: endAt, why: `reading the plan back gave ${read.status}` });
    this.halt();
    return Load.report(this.history, endAt, this.clients);
  }

  static report(history: History, endAt: number, clients: readonly Client[]): LoadReport {
    const { seen } = history;
    const delays = Lateness.deliveries(seen).map(({ delay }) => delay);
    const sent = seen.flatMap((one) => (one.kind === "tried" ? [`${one.sender} ${one.topic} ${one.number}`] : []));
    return {
      sent: new Set(sent).size,
      accepted: seen.filter((one) => one.kind === "accepted").length,
      reconnects: clients.reduce((sum, client) => sum + client.reconnects, 0),
      ...Lateness.figures(delays),
      above333: delays.filter((delay) => delay > Lateness.aimMs).length,
      breaches: Checker.check(seen, endAt),
    };
  }

  get now(): number {
    return this.#clock.now();
  }

  /** Every caller publishes once more, on a topic that it reads itself. */
  probe(): Probe {
    const { space } = this.#fleet.deployment.shared;
    return new Probe({
      history: this.history,
      clients: this.clients,
      draw: () => this.#random.draw(),
      now: () => this.#clock.now(),
      topicsFor: (client) => client.topics.filter((topic) => topic.startsWith(`${space}/`)),
    });
  }

  #publish(client: Client, space: string, topics: number): void {
    const topic = `${space}/t${Math.floor(this.#random.draw() * topics)}`;
    void client.publish(topic, `${client.session} ${this.#random.identity()}`);
  }

  #topics({ space, topics, reads }: { space: string; topics: number; reads: number }): string[] {
    return Array.from({ length: reads }, () => `${space}/t${Math.floor(this.#random.draw() * topics)}`);
  }

  #nodes(session: string): string[] {
    const edges = this.#fleet.withRole("vise").filter((name) => this.#fleet.isRunning(name));
    const near = edges.filter((name) => this.#fleet.zoneOf(name) === this.#zoneOf.get(session));
    return near.length > 0 ? near : edges;
  }

  #move(client: Client): void {
    this.#zoneOf.set(client.session, this.#any(this.#fleet.deployment.zones));
    client.dropOff(100);
  }

  #any<T>(list: readonly T[]): T {
    return list[Math.floor(this.#random.draw() * list.length)]!;
  }

  #every(ms: number, action: () => unknown): void {
    const startedAt = this.#clock.now();
    let count = 0;
    const timer = this.#clock.every(Math.max(5, ms), () => {
      for (; count < (this.#clock.now() - startedAt) / ms; count += 1) action();
    });
    this.#stops.push(() => timer.stop());
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => void this.#clock.once(ms, resolve));
  }
}
