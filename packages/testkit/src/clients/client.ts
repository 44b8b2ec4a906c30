import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import type { ClientPort, PortConnection, PortReply } from "./clientPort.js";
import type { History } from "../checker/history.js";

/** What a client needs from the run. */
interface ClientParts {
  session: string;
  port: ClientPort;
  clock: Clock;
  /** A random number from 0 up to but not including 1. */
  draw: () => number;
  history: History;
  /** Edges to which it may connect at present. */
  nodes: () => string[];
}

/**
 * A client that holds one long connection, resumes its subscriptions from the last known positions after a reconnect,
 * and publishes under increasing numbers, each of which it retries until it gets a final reply.
 */
export class Client {
  /** After this many heartbeat intervals without data the client closes the connection. */
  static readonly missedHeartbeats = 3;

  readonly session: string;
  readonly #parts: ClientParts;
  /** Requested topics and the last known position in each. */
  readonly #cursors = new Map<string, string | undefined>();
  /** The last number used on each topic. */
  readonly #numbers = new Map<string, number>();
  /** The latest pending publish on each topic. */
  readonly #lastPublishes = new Map<string, Promise<boolean>>();
  #connection: PortConnection | undefined;
  #node = "";
  #isOpen = false;
  #isStarted = false;
  #attempt = 0;
  /** Publishes that wait for a connection. */
  #openWaiters: Array<() => void> = [];
  /** Publishes that wait for a reply over the current connection. */
  #disconnectWaiters: Array<() => void> = [];
  #heartbeatIntervalMs = 2000;
  #reconnectTimer: TimerHandle | undefined;
  #heartbeatTimeout: TimerHandle | undefined;
  /** Publishes whose number has no final reply yet. */
  pendingPublishes = 0;
  /** How many times it scheduled a reconnect. */
  reconnects = 0;

  constructor(parts: ClientParts) {
    this.session = parts.session;
    this.#parts = parts;
  }

  /** Whether the long connection is open. */
  get isConnected(): boolean {
    return this.#isOpen;
  }

  /** The node of the current connection, or of the last one. */
  get node(): string {
    return this.#node;
  }

  /** Whether all requested topics are confirmed on the current connection. */
  get isFullySubscribed(): boolean {
    return this.#isOpen && this.#confirmed.size === this.#cursors.size;
  }

  readonly #confirmed = new Set<string>();

  /** Connects and stays connected with subscriptions to these topics until `stop`. */
  start(topics: readonly string[]): void {
    for (const topic of topics) {
      this.#cursors.set(topic, undefined);
      this.#parts.history.add({ kind: "asked", at: this.#now, subscriber: this.session, topic });
    }
    this.#isStarted = true;
    void this.#connect();
  }

  /** The requested topics. */
  get topics(): string[] {
    return [...this.#cursors.keys()];
  }

  /** Closes the connection without notice and reconnects after `ms` milliseconds. */
  disconnectFor(ms: number): void {
    this.#disconnect(true);
    this.#reconnectAfter(ms);
  }

  /** Closes the connection and does not reconnect. */
  stop(): void {
    this.#isStarted = false;
    this.#reconnectTimer?.stop();
    this.#disconnect(true);
  }

  /**
   * Publishes under the topic's next number once the numbers before it have final replies; resolves with whether it was
   * accepted.
   */
  publish(topic: string, payload: string): Promise<boolean> {
    const number = (this.#numbers.get(topic) ?? 0) + 1;
    this.#numbers.set(topic, number);
    this.pendingPublishes += 1;
    const previousPublish = this.#lastPublishes.get(topic) ?? Promise.resolve(true);
    const done = previousPublish
      .then(() => this.#publishUntilFinal(topic, number, payload))
      .then((isAccepted) => {
        this.pendingPublishes -= 1;
        if (this.#lastPublishes.get(topic) === done) this.#lastPublishes.delete(topic);
        return isAccepted;
      });
    this.#lastPublishes.set(topic, done);
    return done;
  }

  get #now(): number {
    return this.#parts.clock.now();
  }

  async #publishUntilFinal(topic: string, number: number, payload: string): Promise<boolean> {
    const { history, port, clock } = this.#parts;
    for (let tries = 0; tries < 200; tries += 1) {
      if (!this.#isOpen) await new Promise<void>((resolve) => void this.#openWaiters.push(resolve));
      const node = this.#node;
      history.add({ kind: "tried", at: this.#now, sender: this.session, topic, number, payload });
      const body = JSON.stringify({ topic, number, payload });
      const replyPromise = port.call(node, "POST", `/v1/sessions/${this.session}/messages`, body);
      const reply = await Promise.race([replyPromise, this.#whenDisconnected()]);
      const about = { at: this.#now, sender: this.session, topic, number };
      if (reply.status === 200) {
        history.add({ kind: "accepted", ...about, place: String(reply.body["place"]) });
        return true;
      }
      const code = String((reply.body["error"] as { code?: string } | undefined)?.code ?? "");
      if (reply.status === 504 || reply.status === 0) history.add({ kind: "unsure", ...about });
      else history.add({ kind: "refused", ...about, code });
      const isFinal = reply.status !== 504 && reply.status !== 0 && reply.status !== 503 && code !== "no-link";
      if (isFinal) return false;
      await new Promise<void>(
        (resolve) =>
          void clock.once(
            Math.min(1000, (reply.retryAfterSeconds ?? 0.3) * 1000 * (0.5 + this.#parts.draw() * 0.5)),
            resolve,
          ),
      );
    }
    return false;
  }

  /**
   * Resolves when the current connection breaks, so that its pending publishes are retried on the next one under the
   * same numbers.
   */
  #whenDisconnected(): Promise<PortReply> {
    return new Promise((resolve) => {
      this.#disconnectWaiters.push(() => resolve({ status: 0, body: {}, retryAfterSeconds: 0 }));
      if (this.#disconnectWaiters.length > 200) this.#disconnectWaiters.shift();
    });
  }

  #pickNode(): string {
    const nodes = this.#parts.nodes();
    return nodes[(this.#attempt + Math.floor(this.#parts.draw() * nodes.length)) % nodes.length] ?? "";
  }

  async #connect(): Promise<void> {
    if (!this.#isStarted || this.#connection !== undefined) return;
    const attempt = ++this.#attempt;
    const node = this.#pickNode();
    const subscriptions = [...this.#cursors].map(([topic, after]) =>
      after === undefined ? { topic } : { topic, after },
    );
    this.#confirmed.clear();
    const isCurrent = (): boolean => attempt === this.#attempt && this.#isStarted;
    const result = await this.#parts.port.openConnection(
      node,
      this.session,
      { subscriptions },
      {
        onLine: (line) => {
          if (isCurrent()) this.#handleLine(line, node);
        },
        onClosed: () => {
          if (!isCurrent()) return;
          this.#disconnect();
          this.#reconnectAfter(50 + this.#parts.draw() * 250);
        },
      },
    );
    if (!isCurrent()) return void ("close" in result && result.close());
    if ("close" in result) this.#connection = result;
    else this.#reconnectAfter(Math.min(3000, (result.retryAfterSeconds ?? 0.5) * 1000 + this.#parts.draw() * 100));
  }

  #handleLine(line: Record<string, unknown>, node: string): void {
    const { history } = this.#parts;
    const topic = String(line["topic"]);
    const about = { at: this.#now, subscriber: this.session, topic };
    if (line["kind"] === "open") this.#heartbeatIntervalMs = Number(line["beatMs"]);
    this.#restartHeartbeatTimeout();
    switch (line["kind"]) {
      case "open":
        this.#isOpen = true;
        for (const go of this.#openWaiters.splice(0)) go();
        this.#node = node;
        return history.add({ kind: "linked", at: this.#now, subscriber: this.session, node });
      case "confirmed":
        this.#confirmed.add(topic);
        if (this.#cursors.get(topic) === undefined) this.#cursors.set(topic, String(line["place"]));
        return history.add({ kind: "confirmed", ...about });
      case "message":
        this.#cursors.set(topic, String(line["place"]));
        return history.add({
          kind: "received",
          ...about,
          sender: String(line["sender"]),
          number: Number(line["number"]),
          payload: String(line["payload"]),
        });
      case "expired":
        this.#cursors.set(topic, String(line["place"]));
        return history.add({ kind: "expired", ...about, reason: String(line["reason"]) });
      case "ended":
        this.#cursors.set(topic, undefined);
        this.#confirmed.delete(topic);
        history.add({ kind: "ended", ...about });
        return this.#resubscribe(topic);
      case "fault":
        history.add({ kind: "faulted", ...about, code: String(line["code"]) });
        return this.#resubscribe(topic);
      case "goodbye":
        this.#disconnect();
        return this.#reconnectAfter(Number(line["comeBack"] ?? 0) * 1000 + this.#parts.draw() * 100);
      default:
    }
  }

  /** Subscribes to a topic again on the current connection after a random delay. */
  #resubscribe(topic: string): void {
    const attempt = this.#attempt;
    this.#parts.clock.once(300 + this.#parts.draw() * 700, () => {
      if (attempt !== this.#attempt || !this.#isOpen || this.#confirmed.has(topic)) return;
      const after = this.#cursors.get(topic);
      void this.#parts.port
        .call(
          this.#node,
          "POST",
          `/v1/sessions/${this.session}/subscriptions`,
          JSON.stringify(after === undefined ? { topic } : { topic, after }),
        )
        .then(({ status }) => {
          if (status !== 200) this.#resubscribe(topic);
        });
    });
  }

  /** Restarts the heartbeat time-out; every received line counts as a heartbeat. */
  #restartHeartbeatTimeout(): void {
    this.#heartbeatTimeout?.stop();
    this.#heartbeatTimeout = this.#parts.clock.once(this.#heartbeatIntervalMs * Client.missedHeartbeats, () =>
      this.#onHeartbeatTimeout(),
    );
  }

  /** Reconnects immediately after a heartbeat time-out. */
  #onHeartbeatTimeout(): void {
    this.#disconnect();
    this.#reconnectAfter(0);
  }

  #disconnect(isOwn = false): void {
    this.#heartbeatTimeout?.stop();
    if (this.#isOpen) this.#parts.history.add({ kind: "closed", at: this.#now, subscriber: this.session, isOwn });
    this.#isOpen = false;
    for (const giveUp of this.#disconnectWaiters.splice(0)) giveUp();
    this.#attempt += 1;
    this.#connection?.close();
    this.#connection = undefined;
  }

  #reconnectAfter(ms: number): void {
    if (!this.#isStarted) return;
    this.reconnects += 1;
    this.#reconnectTimer?.stop();
    this.#reconnectTimer = this.#parts.clock.once(ms, () => void this.#connect());
  }
}
