import type { ClientConnection } from "@cranetrack/edge/connections/clientConnection.js";
import { EdgeClientEndpoint } from "@cranetrack/edge/connections/edgeClientEndpoint.js";
import type { SessionEndpoint } from "@cranetrack/edge/connections/clientEndpoint.js";
import type { SimFleet } from "./simFleet.js";
import { processorCosts } from "./simProcessor.js";

/** Milliseconds after which a client that has not joined drops its connection and tries again. */
const joinTimeoutMs = 2000;
/** Minimum milliseconds before a client reconnects, and the upper bound of the random addition. */
const reconnectDelayMs = { least: 50, spread: 250 } as const;
const topicsPerClient = 3;
/** Milliseconds within which a publish must be accepted to count as served. */
const publishDeadlineMs = 1000;

/** The server's end of one client's connection. */
class CrowdConnection implements ClientConnection {
  readonly bufferedBytes = 0;
  isClosed = false;
  received = 0;
  onServerClose: () => void = () => undefined;
  #whenClosed: () => void = () => undefined;

  send(): void {
    this.received += 1;
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.#whenClosed();
    this.onServerClose();
  }

  onClose(whenClosed: () => void): void {
    this.#whenClosed = whenClosed;
  }
}

/** One client: joins at an edge with a few topics, publishes, and reconnects whenever its connection ends. */
class CrowdClient {
  readonly #fleet: SimFleet;
  readonly #session: string;
  readonly #edges: readonly string[];
  readonly #topics: readonly string[];
  #attempts = 0;
  #lastNumber = 0;
  #connection: CrowdConnection | undefined;
  #joined: SessionEndpoint | undefined;

  constructor(fleet: SimFleet, index: number, edges: readonly string[], topics: readonly string[]) {
    this.#fleet = fleet;
    this.#session = `client-${index}`;
    this.#edges = edges;
    this.#topics = Array.from({ length: topicsPerClient }, (_, i) => topics[(index * 7 + i * 11) % topics.length]!);
  }

  get isJoined(): boolean {
    return this.#joined !== undefined;
  }

  /** Connects and subscribes; retries until all topics are confirmed. */
  join(): void {
    const edgeName = this.#edges[(Number(this.#session.slice(7)) + this.#attempts) % this.#edges.length]!;
    this.#attempts += 1;
    const running = this.#fleet.find(edgeName);
    if (running?.edge === undefined) return this.#joinLater();
    const connection = new CrowdConnection();
    this.#connection = connection;
    const stopListening = running.onEnd(() => connection.close());
    connection.onServerClose = () => {
      stopListening();
      this.#onClosed(connection);
    };
    const { world } = this.#fleet;
    world.at(world.now + joinTimeoutMs, () => {
      if (this.#connection === connection && !this.isJoined) connection.close();
    });
    const endpoint = new EdgeClientEndpoint(running.edge);
    const connect = (): void => void this.#connect(endpoint, connection, edgeName);
    const { processor } = running.processState;
    if (processor === undefined) connect();
    else processor.run(processorCosts.connection, connect);
  }

  /** The network breaks the connection. */
  reset(): void {
    this.#connection?.close();
  }

  /** Publishes one message; resolves whether it was accepted. */
  async publish(): Promise<boolean> {
    if (this.#joined === undefined) return false;
    this.#lastNumber += 1;
    this.#chargeLine();
    const published = await this.#joined.publish(this.#topics[0]!, this.#lastNumber, "a body of a usual message");
    return published.outcome === "accepted";
  }

  async #connect(endpoint: EdgeClientEndpoint, connection: CrowdConnection, edgeName: string): Promise<void> {
    if (connection.isClosed) return;
    const answer = await endpoint.connect(this.#session, connection);
    if (answer.outcome !== "open") return connection.close();
    if (connection.isClosed || this.#fleet.find(edgeName) === undefined) return;
    const outcomes = await Promise.all(this.#topics.map((topic) => answer.connection.subscribe(topic)));
    if (connection.isClosed) return;
    if (outcomes.some(({ outcome }) => outcome !== "confirmed")) return connection.close();
    this.#joined = answer.connection;
  }

  #chargeLine(): void {
    const edgeName = this.#edges[(Number(this.#session.slice(7)) + this.#attempts - 1) % this.#edges.length]!;
    this.#fleet.find(edgeName)?.processState.processor?.charge(processorCosts.clientLine);
  }

  #onClosed(connection: CrowdConnection): void {
    if (this.#connection !== connection) return;
    this.#connection = undefined;
    this.#joined = undefined;
    this.#joinLater();
  }

  #joinLater(): void {
    const { world } = this.#fleet;
    const pauseMs = reconnectDelayMs.least + world.random.draw() * reconnectDelayMs.spread;
    world.at(world.now + pauseMs, () => this.join());
  }
}

/** Publishes due in one second of virtual time, and how many of them were served. */
interface SecondCounts {
  due: number;
  served: number;
}

/** Many clients of a simulated fleet that join at about the same time and publish at a fixed rate. */
export class SimCrowd {
  readonly #fleet: SimFleet;
  readonly #clients: CrowdClient[];
  readonly #seconds: SecondCounts[] = [];

  constructor(fleet: SimFleet, clients: number, topics: readonly string[]) {
    this.#fleet = fleet;
    const edges = fleet.withRole("vise");
    this.#clients = Array.from({ length: clients }, (_, i) => new CrowdClient(fleet, i, edges, topics));
  }

  get joined(): number {
    return this.#clients.filter((client) => client.isJoined).length;
  }

  /** Lets all clients join, evenly spread over `ms`. */
  arrive(ms: number): void {
    const { world } = this.#fleet;
    this.#clients.forEach((client, i) => {
      world.at(world.now + (ms * i) / this.#clients.length, () => client.join());
    });
  }

  /** Resets this share (0 to 1) of the connections at the same time. */
  reset(share: number): void {
    this.#clients.slice(0, Math.floor(this.#clients.length * share)).forEach((client) => client.reset());
  }

  /** Publishes at this rate from now on, by changing clients. */
  publish(perSecond: number): void {
    const { world } = this.#fleet;
    const publishOne = (turn: number): void => {
      void this.#publishBy(this.#clients[(turn * 37) % this.#clients.length]!);
      world.at(world.now + 1000 / perSecond, () => publishOne(turn + 1));
    };
    publishOne(0);
  }

  /** Share (0 to 1) of the publishes due between two times that were served; 0 if none was due. */
  goodput(from: number, to: number): number {
    const seconds = this.#seconds.slice(Math.ceil(from / 1000), Math.floor(to / 1000));
    const sum = (pick: (second: SecondCounts) => number): number =>
      seconds.reduce((total, one) => total + (one === undefined ? 0 : pick(one)), 0);
    return sum(({ due }) => due) === 0 ? 0 : sum(({ served }) => served) / sum(({ due }) => due);
  }

  async #publishBy(client: CrowdClient): Promise<void> {
    const { world } = this.#fleet;
    const dueAt = world.now;
    const second = (this.#seconds[Math.floor(dueAt / 1000)] ??= { due: 0, served: 0 });
    second.due += 1;
    if ((await client.publish()) && world.now - dueAt <= publishDeadlineMs) second.served += 1;
  }
}
