import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ClientConnection } from "./clientConnection.js";
import { Cursors, type Cursor } from "../subscriptions/cursor.js";
import type { TopicFault } from "../subscriptions/topicFault.js";
import type { SessionEndpoint, Subscribed } from "./clientEndpoint.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import { findStarts, type Start } from "../subscriptions/findStarts.js";
import { joinStreams } from "../subscriptions/joinStreams.js";
import { publishMessage, type PublishOutcome } from "../publishing/publishMessage.js";

interface Asked {
  topic: string;
  after: string | undefined;
  resolve: (outcome: Subscribed) => void;
}
interface Pending {
  readonly asked: Asked;
  readonly outcome: Promise<Subscribed>;
}
const faultOutcomes = ["unknown-topic", "malformed-place", "unknown-place", "away"] as const;

/** Milliseconds until a topic that could not be joined anew just now is tried again. */
const rejoinDelayMs = 300;

/**
 * A connection whose client brings its topics and cursors itself.
 * Invariants: a topic is pending from its call until it joined or failed; what is asked for in one turn is
 * looked up together; nothing of a topic is delivered in the turn in which its subscription is confirmed; a
 * subscription that was confirmed goes on until the client or the connection ends it: a topic whose stream has ended is
 * suspended, and joined anew from its cursor as soon as it has a stream again.
 */
export class SessionConnection implements SessionEndpoint {
  readonly #edge: EdgeParts;
  readonly #session: Session;
  readonly #connection: ClientConnection;
  /** By topic, the pending call; a later one takes the place of one that was unsubscribed meanwhile. */
  readonly #pending = new Map<string, Pending>();
  /** Topics without a stream just now, and from where each is to go on. */
  readonly #suspended = new Map<string, Cursor>();
  /** Topics that the client has, as far as it was told. */
  readonly #confirmed = new Set<string>();
  #isRejoinScheduled = false;
  #asked: Asked[] = [];

  constructor(edge: EdgeParts, session: Session, connection: ClientConnection) {
    this.#edge = edge;
    this.#session = session;
    this.#connection = connection;
    session.whenConfigurationChanged = () => this.#rejoin();
  }

  /** The session's name. */
  get session(): string {
    return this.#session.id;
  }

  /** Confirms where the topic's messages go on; a repeated call shares the one that is pending. */
  subscribe(topic: string, after?: string): Promise<Subscribed> {
    const refusal = this.#refusal(topic);
    if (refusal !== undefined) return Promise.resolve(refusal);
    const cursor = this.#session.subscriptions.get(topic);
    if (cursor !== undefined)
      return Promise.resolve({ outcome: "confirmed", cursor: cursorText(cursor.cursorOf(topic)) });
    const pending = this.#pending.get(topic)?.outcome;
    if (pending !== undefined) return pending;
    const suspended = this.#suspended.get(topic);
    this.#suspended.delete(topic);
    this.#confirmed.delete(topic);
    return this.#ask(topic, after ?? (suspended === undefined ? undefined : cursorText(suspended)));
  }

  /** Ends deliveries of the topic at once; a pending subscription of it no longer joins. */
  unsubscribe(topic: string): Promise<{ outcome: "done" | "moved" }> {
    if (!this.#isCurrent) return Promise.resolve({ outcome: "moved" });
    this.#pending.delete(topic);
    this.#suspended.delete(topic);
    this.#confirmed.delete(topic);
    this.#session.subscriptions.get(topic)?.remove(topic);
    this.#session.subscriptions.delete(topic);
    return Promise.resolve({ outcome: "done" });
  }

  /** Hands one message to the topic's leader. `number` rises per topic; repeating one is idempotent. */
  publish(topic: string, number: number, payload: string): Promise<PublishOutcome> {
    if (!this.#isCurrent)
      return Promise.resolve({ outcome: "unsure", reason: "the session moved on meanwhile", retryAfterSeconds: 0.3 });
    if (!Configurations.isTopic(topic) || !Number.isSafeInteger(number) || number < 1)
      return Promise.resolve({ outcome: "refused", code: "malformed", reason: "the topic or number is malformed" });
    return publishMessage(this.#edge, this.#session, topic, number, payload);
  }

  /** Disconnects the session, unless a newer connection has it. */
  close(): void {
    if (this.#session.connection !== this.#connection) return;
    this.#session.disconnect("closed by the client", 0, this.#edge.node.parts.clock.now());
  }

  get #isCurrent(): boolean {
    return this.#session.connection === this.#connection && !this.#session.isStopped && this.#edge.lease.isHeld;
  }

  #refusal(topic: string): Subscribed | undefined {
    if (!this.#isCurrent) return { outcome: "moved", reason: "the session moved on meanwhile" };
    if (!Configurations.isTopic(topic)) return { outcome: "malformed", reason: "the topic is malformed" };
    if (!this.#edge.node.feed.isFresh)
      return { outcome: "away", reason: "this node is out of touch with the store", retryAfterSeconds: 0.5 };
    const isKnown = this.#session.subscriptions.has(topic) || this.#pending.has(topic) || this.#suspended.has(topic);
    const count = this.#session.subscriptions.size + this.#pending.size;
    const most = Configurations.maxSubscriptions(this.#edge.node.configuration.configuration);
    if (!isKnown && count >= most) return { outcome: "too-many", reason: `a connection may have ${most} topics` };
    return undefined;
  }

  #ask(topic: string, after: string | undefined): Promise<Subscribed> {
    let resolveOutcome: (outcome: Subscribed) => void = () => undefined;
    const outcome = new Promise<Subscribed>((resolve) => (resolveOutcome = resolve));
    const asked = { topic, after, resolve: resolveOutcome };
    this.#pending.set(topic, { asked, outcome });
    this.#asked.push(asked);
    if (this.#asked.length === 1) this.#edge.node.parts.clock.once(0, () => void this.#lookUp());
    return outcome;
  }

  async #lookUp(): Promise<void> {
    const asked = this.#asked;
    this.#asked = [];
    const requests = asked.map(({ topic, after }) => (after === undefined ? { topic } : { topic, after }));
    const { starts, faults } = await this.#edge.joinings.steps.measure("starts", () =>
      findStarts(this.#edge, this.#session, requests),
    );
    const good = starts.filter(({ expired }) => expired === "");
    for (const one of asked) one.resolve(this.#outcomeOf(one.topic, starts, faults));
    // The confirmations go out first.
    this.#edge.node.parts.clock.once(0, () => this.#join(asked, good));
    for (const one of asked)
      if (this.#isPending(one) && !good.some(({ topic }) => topic === one.topic)) this.#pending.delete(one.topic);
    for (const { tail, expired } of starts) if (expired !== "") this.#edge.streams.release(tail);
  }

  #outcomeOf(topic: string, starts: readonly Start[], faults: readonly TopicFault[]): Subscribed {
    if (!this.#isCurrent) return { outcome: "moved", reason: "the session moved on meanwhile" };
    const start = starts.find((one) => one.topic === topic);
    if (start !== undefined && start.expired !== "") return { outcome: "expired", reason: start.expired };
    if (start !== undefined) return { outcome: "confirmed", cursor: cursorText(start.cursor) };
    const fault = faults.find((one) => one.topic === topic);
    const outcome = faultOutcomes.find((one) => one === fault?.code) ?? "away";
    return {
      outcome,
      reason: fault?.reason ?? "the topic could not be looked up",
      retryAfterSeconds: fault?.retryAfterSeconds,
    };
  }

  /** Neither unsubscribed since, nor subscribed anew after that. */
  #isPending(asked: Asked): boolean {
    return this.#pending.get(asked.topic)?.asked === asked;
  }

  /** Topics unsubscribed meanwhile, or whose connection ended, don't join. */
  #join(asked: readonly Asked[], starts: readonly Start[]): void {
    const wanted = new Set(asked.filter((one) => this.#isPending(one)).map(({ topic }) => topic));
    for (const topic of wanted) this.#pending.delete(topic);
    const joining = starts.filter(({ topic }) => wanted.delete(topic));
    if (this.#isCurrent) {
      const whenEnded = (topic: string, cursor: Cursor): void => this.#suspend(topic, cursor);
      for (const { topic } of joining) this.#confirmed.add(topic);
      joinStreams(this.#edge, this.#session, this.#connection, joining, { whenEnded });
    }
    for (const { tail } of starts) this.#edge.streams.release(tail);
  }

  #suspend(topic: string, cursor: Cursor): void {
    if (!this.#isCurrent) return;
    this.#suspended.set(topic, cursor);
    this.#rejoinLater(0);
  }

  #rejoinLater(delayMs: number): void {
    if (this.#isRejoinScheduled) return;
    this.#isRejoinScheduled = true;
    this.#edge.node.parts.clock.once(delayMs, () => {
      this.#isRejoinScheduled = false;
      this.#rejoin();
    });
  }

  /** Joins suspended topics that this node knows a stream for; the others wait for a configuration that has one. */
  #rejoin(): void {
    if (!this.#isCurrent) return;
    for (const [topic, cursor] of this.#suspended) {
      const isRouted = this.#edge.node.configuration.route(topic) !== undefined;
      if (isRouted && !this.#pending.has(topic)) void this.#rejoinTopic(topic, cursor);
    }
    this.#checkConfirmed();
  }

  async #rejoinTopic(topic: string, cursor: Cursor): Promise<void> {
    const { outcome } = await this.#ask(topic, cursorText(cursor));
    if (!this.#isCurrent || this.#suspended.get(topic) !== cursor) return;
    if (outcome === "away") return this.#rejoinLater(rejoinDelayMs);
    if (outcome === "unknown-topic") return;
    this.#suspended.delete(topic);
    if (outcome === "confirmed") return;
    // The client is told by the end of its connection that it can't go on from its cursor.
    this.#session.disconnect(`${topic} can't be resumed`, 0, this.#edge.node.parts.clock.now());
  }

  #checkConfirmed(): void {
    for (const topic of this.#confirmed) {
      if (this.#session.subscriptions.has(topic) || this.#pending.has(topic) || this.#suspended.has(topic)) continue;
      this.#edge.node.invariants.violated("subscriptionEnd", { session: this.session, topic });
    }
  }
}

function cursorText({ incarnation, seq }: Cursor): string {
  return Cursors.write(incarnation, seq);
}
