/**
 * The load generator: runs a deployment's clients against real processes at its rates and records a history, which the
 * checker evaluates at the end.
 */

import { HostRandom } from "@cranetrack/core/runtime/hostRandom.js";
import { HostClock } from "@cranetrack/core/runtime/hostClock.js";
import { Checker, type Breach } from "../checker/checker.js";
import { Lateness } from "../checker/lateness.js";
import { History } from "../checker/history.js";
import { Deployments } from "./deployments.js";
import { Client } from "../clients/client.js";
import { Probe } from "./probe.js";
import type { Fleet } from "./fleet.js";
import { documentTextOf } from "@cranetrack/core/configuration/documentBuilder.js";

/** Totals over all clients; delays are in milliseconds. */
export interface LoadReport {
  sent: number;
  accepted: number;
  /** Deliveries to readers whose subscription was confirmed when the message was first published. */
  deliveries: number;
  reconnects: number;
  p50: number;
  p99: number;
  max: number;
  above333: number;
  above2000: number;
  breaches: Breach[];
}

/** A deployment's clients against a real fleet: publishers at their rates, readers, disconnects and zone changes. */
export class Load {
  readonly #fleet: Fleet;
  readonly #clock = new HostClock();
  readonly #random = new HostRandom();
  readonly history = new History();
  readonly clients: Client[] = [];
  /** The zone whose edges each session prefers. */
  readonly #zoneOf = new Map<string, string>();
  /** While true no client disconnects on its own, so that a recovery can be timed. */
  isDisconnectPaused = false;
  #stopActions: Array<() => void> = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Sends a configuration until it is accepted; throws if it is refused. */
  async proposeConfiguration(configuration: { version: number }): Promise<void> {
    const text = documentTextOf(configuration);
    this.history.add({ kind: "planTried", at: this.#clock.now(), version: configuration.version, text });
    for (;;) {
      const reply = await this.#fleet.call(this.#fleet.withRole("vise")[0]!, "PUT", "/v1/plan", text);
      if (reply.status === 200) break;
      if (reply.status < 500) throw new Error(`the configuration was refused: ${JSON.stringify(reply.body)}`);
      await this.#wait(300);
    }
    this.history.add({ kind: "planAccepted", at: this.#clock.now(), version: configuration.version, text });
  }

  /**
   * Proposes the deployment's configuration, connects `share` of its clients and waits until all subscriptions are
   * confirmed; throws if some are not after 30 s.
   */
  async connectClients(share = 1): Promise<void> {
    const { deployment } = this.#fleet;
    await this.proposeConfiguration(Deployments.configuration(deployment, (await this.versionInForce()) + 1));
    await this.#wait(1500);
    const { shared, broadcast } = deployment;
    for (let i = 0; i < deployment.connections * share; i += 1) {
      const session = i < broadcast.senders ? `sender-${i + 1}` : `caller-${i + 1}`;
      this.#zoneOf.set(session, deployment.zones[i % deployment.zones.length]!);
      const client = new Client({
        session,
        port: this.#fleet.clientPort,
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
    for (let tries = 0; tries < 300 && !this.clients.every((client) => client.isFullySubscribed); tries += 1)
      await this.#wait(100);
    const unconfirmed = this.clients.filter((client) => !client.isFullySubscribed).length;
    if (unconfirmed > 0) throw new Error(`${unconfirmed} clients have no fully confirmed connection after 30 s`);
  }

  /**
   * Proposes `count` configurations in turn; resolves with the milliseconds from each acceptance until every node had
   * acknowledged it.
   */
  async measureRollouts(count: number): Promise<number[]> {
    const rolloutMs: number[] = [];
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
      rolloutMs.push(Math.round(this.#clock.now() - acceptedAt));
    }
    return rolloutMs;
  }

  /** The version in force as read from an edge; 0 if it cannot read it. */
  async versionInForce(): Promise<number> {
    const read = await this.#fleet.call(this.#fleet.withRole("vise")[0]!, "GET", "/v1/plan");
    return read.status === 200 ? Number(read.body["mark"]) : 0;
  }

  /** Starts publishing at `share` of the deployment's rates, and random disconnects and zone changes. */
  startTraffic(share = 1): void {
    const { shared, broadcast } = this.#fleet.deployment;
    this.#runAtInterval(1000 / (shared.perSecond * share), () =>
      this.#publish(this.#pick(this.clients), shared.space, shared.topics),
    );
    this.#runAtInterval(1000 / (broadcast.perSecond * share), () =>
      this.#publish(
        this.clients[Math.floor(this.#random.draw() * broadcast.senders)]!,
        broadcast.space,
        broadcast.topics,
      ),
    );
    this.#runAtInterval(
      700,
      () => this.isDisconnectPaused || this.#pick(this.clients).disconnectFor(200 + this.#random.draw() * 3000),
    );
    this.#runAtInterval(2500, () => this.isDisconnectPaused || this.#moveToRandomZone(this.#pick(this.clients)));
  }

  /** Sends several configurations to different nodes at once; one is stale and one is invalid. */
  async changeConfiguration(): Promise<void> {
    const { deployment } = this.#fleet;
    const version = await this.versionInForce();
    const edges = this.#fleet.withRole("vise");
    const rejectedTexts = [
      documentTextOf(Deployments.configuration(deployment, version)),
      '{"mark": 1e9, "spaces": 7}',
    ];
    const sent = rejectedTexts.map((text, i) => this.#fleet.call(edges[i % edges.length]!, "PUT", "/v1/plan", text));
    for (let i = 1; i <= 3; i += 1) await this.proposeConfiguration(Deployments.configuration(deployment, version + i));
    await Promise.all(sent);
  }

  /** Moves all clients to one zone, until they are moved again. */
  moveAll(): void {
    const zone = this.#pick(this.#fleet.deployment.zones);
    for (const client of this.clients) {
      this.#zoneOf.set(client.session, zone);
      client.disconnectFor(this.#random.draw() * 500);
    }
  }

  /** Disconnects each client with a probability of 95 %, for up to 500 ms. */
  resetAll(): void {
    for (const client of this.clients) if (this.#random.draw() < 0.95) client.disconnectFor(this.#random.draw() * 500);
  }

  /** Stops all traffic and clients immediately, in any state. */
  halt(): void {
    for (const stop of this.#stopActions.splice(0)) stop();
    for (const client of this.clients) client.stop();
  }

  /** Stops publishing, waits until every message has a reply and is delivered, and checks the history. */
  async finish(): Promise<LoadReport> {
    for (const stop of this.#stopActions.splice(0)) stop();
    for (
      let tries = 0;
      tries < 250 && !this.clients.every((client) => client.isFullySubscribed && client.pendingPublishes === 0);
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

  /** Evaluates a history that ended at `endAt`. */
  static report(history: History, endAt: number, clients: readonly Client[]): LoadReport {
    const { events: seen } = history;
    const delays = Lateness.deliveries(seen).map(({ delay }) => delay);
    const sent = seen.flatMap((one) => (one.kind === "tried" ? [`${one.sender} ${one.topic} ${one.number}`] : []));
    return {
      sent: new Set(sent).size,
      accepted: seen.filter((one) => one.kind === "accepted").length,
      reconnects: clients.reduce((sum, client) => sum + client.reconnects, 0),
      ...Lateness.summarize(delays),
      above333: delays.filter((delay) => delay > Lateness.aimMs).length,
      breaches: Checker.check(seen, endAt),
    };
  }

  /** Present time of the load's clock, in milliseconds. */
  get now(): number {
    return this.#clock.now();
  }

  /** Lets every client publish one message on a topic that it reads itself, to tell when service has recovered. */
  probe(): Probe {
    const { space } = this.#fleet.deployment.shared;
    return new Probe({
      history: this.history,
      clients: this.clients,
      draw: () => this.#random.draw(),
      now: () => this.#clock.now(),
      publishableTopics: (client) => client.topics.filter((topic) => topic.startsWith(`${space}/`)),
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

  #moveToRandomZone(client: Client): void {
    this.#zoneOf.set(client.session, this.#pick(this.#fleet.deployment.zones));
    client.disconnectFor(100);
  }

  #pick<T>(list: readonly T[]): T {
    return list[Math.floor(this.#random.draw() * list.length)]!;
  }

  #runAtInterval(ms: number, action: () => unknown): void {
    const startedAt = this.#clock.now();
    let count = 0;
    const timer = this.#clock.every(Math.max(5, ms), () => {
      for (; count < (this.#clock.now() - startedAt) / ms; count += 1) action();
    });
    this.#stopActions.push(() => timer.stop());
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => void this.#clock.once(ms, resolve));
  }
}
