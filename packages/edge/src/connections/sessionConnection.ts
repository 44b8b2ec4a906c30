import { Configurations } from "@cranetrack/core/configuration/configuration.js";
import type { ClientConnection } from "./clientConnection.js";
import { Cursors, type Cursor } from "../subscriptions/cursor.js";
import type { TopicFault } from "../subscriptions/topicFault.js";
import type { SessionEndpoint, SubscribeResult } from "./clientEndpoint.js";
import type { Session } from "../sessions/session.js";
import type { EdgeParts } from "../edgeParts.js";
import { findStarts, type Start } from "../subscriptions/findStarts.js";
import { joinStreams } from "../subscriptions/joinStreams.js";
import { publishMessage, type PublishOutcome } from "../publishing/publishMessage.js";

/** A subscribe call that is to be looked up. */
interface SubscribeCall {
  topic: string;
  after: string | undefined;
  resolve: (outcome: SubscribeResult) => void;
}
/** A subscribe call in progress and its outcome. */
interface PendingCall {
  readonly call: SubscribeCall;
  readonly outcome: Promise<SubscribeResult>;
}
/** Codes of faults that are returned as outcomes under the same name; every other code becomes `away`. */
const faultOutcomes = ["unknown-topic", "malformed-place", "unknown-place", "away"] as const;

/** Milliseconds until a failed attempt to rejoin a suspended topic is repeated. */
const rejoinDelayMs = 300;

/**
 * The session of a client that keeps its subscriptions and cursors itself, on one connection.
 * Invariants: a topic is pending from the subscribe call until it has joined its stream or failed; the calls of one
 * turn of the event loop are looked up together; no message of a topic is delivered in the turn that confirms its
 * subscription; a confirmed subscription lasts until the client or the connection ends it: a topic whose stream has
 * ended is suspended, and rejoins from its cursor as soon as it has a stream again.
 */
export class SessionConnection implements SessionEndpoint {
  readonly #edge: EdgeParts;
  readonly #session: Session;
  readonly #connection: ClientConnection;
  /** By topic, the pending call; a later call replaces one whose topic was unsubscribed in the meantime. */
  readonly #pending = new Map<string, PendingCall>();
  /** Topics that have no stream at present, and the cursor from which each is to continue. */
  readonly #suspended = new Map<string, Cursor>();
  /** Topics whose subscription has been confirmed to the client. */
  readonly #confirmedTopics = new Set<string>();
  #isRejoinScheduled = false;
  #callsToLookUp: SubscribeCall[] = [];

  constructor(edge: EdgeParts, session: Session, connection: ClientConnection) {
    this.#edge = edge;
    this.#session = session;
    this.#connection = connection;
    session.onConfigurationChanged = () => this.#rejoin();
  }

  /** The session's name. */
  get session(): string {
    return this.#session.id;
  }

  /** Subscribes to a topic. A repeated call returns the outcome of the pending one. */
  subscribe(topic: string, after?: string): Promise<SubscribeResult> {
    const refusal = this.#refusalOf(topic);
    if (refusal !== undefined) return Promise.resolve(refusal);
    const cursor = this.#session.subscriptions.get(topic);
    if (cursor !== undefined)
      return Promise.resolve({ outcome: "confirmed", cursor: cursorText(cursor.cursorOf(topic)) });
    const pending = this.#pending.get(topic)?.outcome;
    if (pending !== undefined) return pending;
    const suspended = this.#suspended.get(topic);
    if (after !== undefined) this.#session.deliveredNumbers.forget(topic);
    this.#suspended.delete(topic);
    this.#confirmedTopics.delete(topic);
    return this.#queueLookUp(topic, after ?? (suspended === undefined ? undefined : cursorText(suspended)));
  }

  /** Stops delivery of the topic at once; a pending subscription of it does not join any more. */
  unsubscribe(topic: string): Promise<{ outcome: "done" | "moved" }> {
    if (!this.#isCurrent) return Promise.resolve({ outcome: "moved" });
    this.#pending.delete(topic);
    this.#suspended.delete(topic);
    this.#confirmedTopics.delete(topic);
    this.#session.subscriptions.get(topic)?.remove(topic);
    this.#session.subscriptions.delete(topic);
    this.#session.deliveredNumbers.forget(topic);
    return Promise.resolve({ outcome: "done" });
  }

  /** Publishes one message through the shard's leader. `number` rises per topic; repeating one is idempotent. */
  publish(topic: string, number: number, payload: string): Promise<PublishOutcome> {
    if (!this.#isCurrent)
      return Promise.resolve({ outcome: "unsure", reason: "the session moved on meanwhile", retryAfterSeconds: 0.3 });
    if (!Configurations.isTopic(topic) || !Number.isSafeInteger(number) || number < 1)
      return Promise.resolve({ outcome: "refused", code: "malformed", reason: "the topic or number is malformed" });
    return publishMessage(this.#edge, this.#session, topic, number, payload);
  }

  /** Disconnects the session, unless a newer connection has replaced this one. */
  close(): void {
    if (this.#session.connection !== this.#connection) return;
    this.#session.disconnect("closed by the client", 0, this.#edge.node.parts.clock.now());
  }

  /** Whether this node still owns the session and this is its connection. */
  get #isCurrent(): boolean {
    return this.#session.connection === this.#connection && !this.#session.isStopped && this.#edge.lease.isHeld;
  }

  /** Why a topic can't be subscribed at present; undefined if it can. */
  #refusalOf(topic: string): SubscribeResult | undefined {
    if (!this.#isCurrent) return { outcome: "moved", reason: "the session moved on meanwhile" };
    if (!Configurations.isTopic(topic)) return { outcome: "malformed", reason: "the topic is malformed" };
    if (!this.#edge.node.feed.isFresh)
      return { outcome: "away", reason: "this node is out of touch with the store", retryAfterSeconds: 0.5 };
    const isKnown = this.#session.subscriptions.has(topic) || this.#pending.has(topic) || this.#suspended.has(topic);
    const count = this.#session.subscriptions.size + this.#pending.size;
    const maxTopics = Configurations.maxSubscriptions(this.#edge.node.configuration.configuration);
    if (!isKnown && count >= maxTopics)
      return { outcome: "too-many", reason: `a connection may have ${maxTopics} topics` };
    return undefined;
  }

  /** Starts a pending call, which is looked up together with the others of this turn. */
  #queueLookUp(topic: string, after: string | undefined): Promise<SubscribeResult> {
    let resolveOutcome: (outcome: SubscribeResult) => void = () => undefined;
    const outcome = new Promise<SubscribeResult>((resolve) => (resolveOutcome = resolve));
    const call = { topic, after, resolve: resolveOutcome };
    this.#pending.set(topic, { call, outcome });
    this.#callsToLookUp.push(call);
    if (this.#callsToLookUp.length === 1) this.#edge.node.parts.clock.once(0, () => void this.#lookUp());
    return outcome;
  }

  async #lookUp(): Promise<void> {
    const calls = this.#callsToLookUp;
    this.#callsToLookUp = [];
    const requests = calls.map(({ topic, after }) => (after === undefined ? { topic } : { topic, after }));
    const { starts, faults } = await this.#edge.joinings.steps.measure("starts", () =>
      findStarts(this.#edge, this.#session, requests),
    );
    const joinable = starts.filter(({ expired }) => expired === "");
    for (const call of calls) call.resolve(this.#outcomeOf(call.topic, starts, faults));
    // The next turn, so that the confirmations are sent before the first message.
    this.#edge.node.parts.clock.once(0, () => this.#join(calls, joinable));
    for (const call of calls)
      if (this.#isPending(call) && !joinable.some(({ topic }) => topic === call.topic))
        this.#pending.delete(call.topic);
    for (const { tail, expired } of starts) if (expired !== "") this.#edge.streams.release(tail);
  }

  #outcomeOf(topic: string, starts: readonly Start[], faults: readonly TopicFault[]): SubscribeResult {
    if (!this.#isCurrent) return { outcome: "moved", reason: "the session moved on meanwhile" };
    const start = starts.find((candidate) => candidate.topic === topic);
    if (start !== undefined && start.expired !== "") return { outcome: "expired", reason: start.expired };
    if (start !== undefined) return { outcome: "confirmed", cursor: cursorText(start.cursor) };
    const fault = faults.find((candidate) => candidate.topic === topic);
    const outcome = faultOutcomes.find((code) => code === fault?.code) ?? "away";
    return {
      outcome,
      reason: fault?.reason ?? "the topic could not be looked up",
      retryAfterSeconds: fault?.retryAfterSeconds,
    };
  }

  /** Whether the call is still the pending one: the topic was neither unsubscribed nor subscribed again since. */
  #isPending(call: SubscribeCall): boolean {
    return this.#pending.get(call.topic)?.call === call;
  }

  /** Joins the streams. Leaves out topics that were unsubscribed in the meantime, and all if the connection ended. */
  #join(calls: readonly SubscribeCall[], starts: readonly Start[]): void {
    const pendingTopics = new Set(calls.filter((call) => this.#isPending(call)).map(({ topic }) => topic));
    for (const topic of pendingTopics) this.#pending.delete(topic);
    const joining = starts.filter(({ topic }) => pendingTopics.delete(topic));
    if (this.#isCurrent) {
      const onEnded = (topic: string, cursor: Cursor): void => this.#suspend(topic, cursor);
      for (const { topic } of joining) this.#confirmedTopics.add(topic);
      joinStreams(this.#edge, this.#session, this.#connection, joining, { onEnded });
    }
    for (const { tail } of starts) this.#edge.streams.release(tail);
  }

  /** The stream no longer has the topic: keeps the cursor to rejoin from. */
  #suspend(topic: string, cursor: Cursor): void {
    if (!this.#isCurrent) return;
    this.#suspended.set(topic, cursor);
    this.#scheduleRejoin(0);
  }

  #scheduleRejoin(delayMs: number): void {
    if (this.#isRejoinScheduled) return;
    this.#isRejoinScheduled = true;
    this.#edge.node.parts.clock.once(delayMs, () => {
      this.#isRejoinScheduled = false;
      this.#rejoin();
    });
  }

  /** Rejoins suspended topics that have a stream in the configuration; the others wait for a later configuration. */
  #rejoin(): void {
    if (!this.#isCurrent) return;
    for (const [topic, cursor] of this.#suspended) {
      const isRouted = this.#edge.node.configuration.route(topic) !== undefined;
      if (isRouted && !this.#pending.has(topic)) void this.#rejoinTopic(topic, cursor);
    }
    this.#checkConfirmed();
  }

  async #rejoinTopic(topic: string, cursor: Cursor): Promise<void> {
    const { outcome } = await this.#queueLookUp(topic, cursorText(cursor));
    if (!this.#isCurrent || this.#suspended.get(topic) !== cursor) return;
    if (outcome === "away") return this.#scheduleRejoin(rejoinDelayMs);
    if (outcome === "unknown-topic") return;
    this.#suspended.delete(topic);
    if (outcome === "confirmed") return;
    // The subscription can't continue from its cursor: the client learns of it when its connection is closed.
    this.#session.disconnect(`${topic} can't be resumed`, 0, this.#edge.node.parts.clock.now());
  }

  /** Reports a violated invariant if a confirmed subscription is neither live, pending nor suspended. */
  #checkConfirmed(): void {
    for (const topic of this.#confirmedTopics) {
      if (this.#session.subscriptions.has(topic) || this.#pending.has(topic) || this.#suspended.has(topic)) continue;
      this.#edge.node.invariants.violated("subscriptionEnd", { session: this.session, topic });
    }
  }
}

function cursorText({ incarnation, seq }: Cursor): string {
  return Cursors.write(incarnation, seq);
}
