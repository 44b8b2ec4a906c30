import type { TimerHandle, Clock } from "@cranetrack/core/runtime/clock.js";
import type { ClientPort, PortConnection, PortReply } from "./callerPort.js";
import type { History } from "../checker/history.js";

interface ClientParts {
  session: string;
  port: ClientPort;
  clock: Clock;
  draw: () => number;
  history: History;
  nodes: () => string[];
}

/**
 * One caller: holds one long connection, comes back with its last places, publishes under rising numbers and
 * tries a number again until it has a final reply.
 */
export class Client {
  /** A connection that stays silent for so many of its beats is given up. */
  static readonly missedHeartbeats = 3;

  readonly session: string;
  readonly #parts: ClientParts;
  /** Topics asked for and the last place known in each. */
  readonly #places = new Map<string, string | undefined>();
  readonly #numbers = new Map<string, number>();
  readonly #busy = new Map<string, Promise<boolean>>();
  #connection: PortConnection | undefined;
  #node = "";
  #isOpen = false;
  #isWanted = false;
  #attempt = 0;
  /** Publishes that wait for a connection. */
  #whenOpen: Array<() => void> = [];
  /** Publishes that wait for a reply over the present connection. */
  #disconnectWaiters: Array<() => void> = [];
  #heartbeatIntervalMs = 2000;
  #waiting: TimerHandle | undefined;
  #silence: TimerHandle | undefined;
  /** Publishes whose number has no final reply yet. */
  open = 0;
  reconnects = 0;

  constructor(parts: ClientParts) {
    this.session = parts.session;
    this.#parts = parts;
  }

  get isConnected(): boolean {
    return this.#isOpen;
  }

  get node(): string {
    return this.#node;
  }

  /** All topics asked for are confirmed on the present connection. */
  get isSettled(): boolean {
    return this.#isOpen && this.#confirmed.size === this.#places.size;
  }

  readonly #confirmed = new Set<string>();

  start(topics: readonly string[]): void {
    for (const topic of topics) {
      this.#places.set(topic, undefined);
      this.#parts.history.add({ kind: "asked", at: this.#now, subscriber: this.session, topic });
    }
    this.#isWanted = true;
    void this.#connect();
  }

  get topics(): string[] {
    return [...this.#places.keys()];
  }

  /** Drops off without a word, and comes back after a while. */
  dropOff(ms: number): void {
    this.#cut(true);
    this.#again(ms);
  }

  stop(): void {
    this.#isWanted = false;
    this.#waiting?.stop();
    this.#cut(true);
  }

  /** Publishes under the topic's next number, after the ones before it are settled; true where it was accepted. */
  publish(topic: string, payload: string): Promise<boolean> {
    const number = (this.#numbers.get(topic) ?? 0) + 1;
    this.#numbers.set(topic, number);
    this.open += 1;
    const before = this.#busy.get(topic) ?? Promise.resolve(true);
    const done = before
      .then(() => this.#settle(topic, number, payload))
      .then((isAccepted) => {
        this.open -= 1;
        if (this.#busy.get(topic) === done) this.#busy.delete(topic);
        return isAccepted;
      });
    this.#busy.set(topic, done);
    return done;
  }

  get #now(): number {
    return this.#parts.clock.now();
  }

  async #settle(topic: string, number: number, payload: string): Promise<boolean> {
    const { history, port, clock } = this.#parts;
    for (let tries = 0; tries < 200; tries += 1) {
      if (!this.#isOpen) await new Promise<void>((resolve) => void this.#whenOpen.push(resolve));
      const node = this.#node;
      history.add({ kind: "tried", at: this.#now, sender: this.session, topic, number, payload });
      const body = JSON.stringify({ topic, number, payload });
      const asked = port.call(node, "POST", `/v1/sessions/${this.session}/messages`, body);
      const reply = await Promise.race([asked, this.#whenDisconnected()]);
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
   * Settles when the present connection breaks: what was asked over it is asked again on the next, under its number.
   */
  #whenDisconnected(): Promise<PortReply> {
    return new Promise((resolve) => {
      this.#disconnectWaiters.push(() => resolve({ status: 0, body: {}, retryAfterSeconds: 0 }));
      if (this.#disconnectWaiters.length > 200) this.#disconnectWaiters.shift();
    });
  }

  #pick(): string {
    const nodes = this.#parts.nodes();
    return nodes[(this.#attempt + Math.floor(this.#parts.draw() * nodes.length)) % nodes.length] ?? "";
  }

  async #connect(): Promise<void> {
    if (!this.#isWanted || this.#connection !== undefined) return;
    const attempt = ++this.#attempt;
    const node = this.#pick();
    const subscriptions = [...this.#places].map(([topic, after]) =>
      after === undefined ? { topic } : { topic, after },
    );
    this.#confirmed.clear();
    const isCurrent = (): boolean => attempt === this.#attempt && this.#isWanted;
    const got = await this.#parts.port.connection(
      node,
      this.session,
      { subscriptions },
      {
        line: (line) => {
          if (isCurrent()) this.#heed(line, node);
        },
        closed: () => {
          if (!isCurrent()) return;
          this.#cut();
          this.#again(50 + this.#parts.draw() * 250);
        },
      },
    );
    if (!isCurrent()) return void ("close" in got && got.close());
    if ("close" in got) this.#connection = got;
    else this.#again(Math.min(3000, (got.retryAfterSeconds ?? 0.5) * 1000 + this.#parts.draw() * 100));
  }

  #heed(line: Record<string, unknown>, node: string): void {
    const { history } = this.#parts;
    const topic = String(line["topic"]);
    const about = { at: this.#now, subscriber: this.session, topic };
    if (line["kind"] === "open") this.#heartbeatIntervalMs = Number(line["beatMs"]);
    this.#restartHeartbeatTimeout();
    switch (line["kind"]) {
      case "open":
        this.#isOpen = true;
        for (const go of this.#whenOpen.splice(0)) go();
        this.#node = node;
        return history.add({ kind: "linked", at: this.#now, subscriber: this.session, node });
      case "confirmed":
        this.#confirmed.add(topic);
        if (this.#places.get(topic) === undefined) this.#places.set(topic, String(line["place"]));
        return history.add({ kind: "confirmed", ...about });
      case "message":
        this.#places.set(topic, String(line["place"]));
        return history.add({
          kind: "received",
          ...about,
          sender: String(line["sender"]),
          number: Number(line["number"]),
          payload: String(line["payload"]),
        });
      case "expired":
        this.#places.set(topic, String(line["place"]));
        return history.add({ kind: "expired", ...about, reason: String(line["reason"]) });
      case "ended":
        this.#places.set(topic, undefined);
        this.#confirmed.delete(topic);
        history.add({ kind: "ended", ...about });
        return this.#resubscribe(topic);
      case "fault":
        history.add({ kind: "faulted", ...about, code: String(line["code"]) });
        return this.#resubscribe(topic);
      case "goodbye":
        this.#cut();
        return this.#again(Number(line["comeBack"] ?? 0) * 1000 + this.#parts.draw() * 100);
      default:
    }
  }

  /** Asks for one topic again on the connection that is there. */
  #resubscribe(topic: string): void {
    const attempt = this.#attempt;
    this.#parts.clock.once(300 + this.#parts.draw() * 700, () => {
      if (attempt !== this.#attempt || !this.#isOpen || this.#confirmed.has(topic)) return;
      const after = this.#places.get(topic);
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

  /** Silence is counted from the last line, whatever it said. */
  #restartHeartbeatTimeout(): void {
    this.#silence?.stop();
    this.#silence = this.#parts.clock.once(this.#heartbeatIntervalMs * Client.missedHeartbeats, () =>
      this.#onHeartbeatTimeout(),
    );
  }

  /** The node has fallen silent. */
  #onHeartbeatTimeout(): void {
    this.#cut();
    this.#again(0);
  }

  #cut(isOwn = false): void {
    this.#silence?.stop();
    if (this.#isOpen) this.#parts.history.add({ kind: "closed", at: this.#now, subscriber: this.session, isOwn });
    this.#isOpen = false;
    for (const giveUp of this.#disconnectWaiters.splice(0)) giveUp();
    this.#attempt += 1;
    this.#connection?.close();
    this.#connection = undefined;
  }

  #again(ms: number): void {
    if (!this.#isWanted) return;
    this.reconnects += 1;
    this.#waiting?.stop();
    this.#waiting = this.#parts.clock.once(ms, () => void this.#connect());
  }
}
