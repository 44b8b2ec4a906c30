import { Plans, type Plan } from "@cranetrack/chest/mark/plan.js";
import type { Seen } from "./history.js";
import { OrderGraph } from "./orderGraph.js";

export interface Breach {
  rule: string;
  text: string;
  at: number;
}
interface Message {
  sender: string;
  topic: string;
  number: number;
  payload: string;
  firstAt: number;
  lastAt: number;
  acceptedAt: number | undefined;
  isUnsure: boolean;
  isRefused: boolean;
}
interface Reader {
  confirmedAt: number;
  asked: boolean;
  got: Map<string, number>;
  last: Map<string, number>;
  lastAt: number;
  order: string[];
  resetAt: number;
}

const keyOf = (sender: string, number: number): string => `${sender}#${number}`;

/**
 * Judges a history by the users' list of what must never happen. Knows only what callers and operators saw.
 */
export class Checker {
  static readonly takeUpMs = 3000;
  static readonly leastKeepMs = 35_000;

  readonly #seen: readonly Seen[];
  readonly #endAt: number;
  readonly #breaches: Breach[] = [];
  readonly #messages = new Map<string, Map<string, Message>>();
  readonly #readers = new Map<string, Reader>();
  readonly #plans: Array<{ at: number; plan: Plan; text: string }> = [];

  constructor(seen: readonly Seen[], endAt: number) {
    this.#seen = seen;
    this.#endAt = endAt;
  }

  static judge(seen: readonly Seen[], endAt: number): Breach[] {
    return new Checker(seen, endAt).#judge();
  }

  /**
   * Milliseconds from a message's first try to each of its receipts, by subscribers whose subscription was
   * confirmed on the link they had when it was first tried.
   */
  static delays(seen: readonly Seen[]): number[] {
    const first = new Map<string, number>();
    const confirmed = new Map<string, number>();
    const linked = new Map<string, number>();
    const delays: number[] = [];
    for (const one of seen) {
      if (one.kind === "tried") {
        const key = `${one.topic} ${keyOf(one.sender, one.number)}`;
        if (!first.has(key)) first.set(key, one.at);
      } else if (one.kind === "linked") linked.set(one.subscriber, one.at);
      else if (one.kind === "confirmed") confirmed.set(`${one.subscriber} ${one.topic}`, one.at);
      else if (one.kind === "received") {
        const at = first.get(`${one.topic} ${keyOf(one.sender, one.number)}`) ?? -Infinity;
        const since = confirmed.get(`${one.subscriber} ${one.topic}`) ?? Infinity;
        if (at >= since && since >= (linked.get(one.subscriber) ?? Infinity)) delays.push(one.at - at);
      }
    }
    return delays.sort((a, b) => a - b);
  }

  #judge(): Breach[] {
    for (const one of this.#seen)
      if (one.kind === "tried" || one.kind === "accepted" || one.kind === "refused" || one.kind === "unsure")
        this.#note(one);
    for (const one of this.#seen) this.#step(one);
    this.#missing();
    this.#orders();
    return this.#breaches;
  }

  #breach(rule: string, at: number, text: string): void {
    this.#breaches.push({ rule, at, text });
  }

  #note(one: Extract<Seen, { kind: "tried" | "accepted" | "refused" | "unsure" }>): void {
    let topic = this.#messages.get(one.topic);
    if (topic === undefined) this.#messages.set(one.topic, (topic = new Map()));
    const key = keyOf(one.sender, one.number);
    const message = topic.get(key);
    if (one.kind === "tried") {
      if (message === undefined)
        topic.set(key, {
          sender: one.sender,
          topic: one.topic,
          number: one.number,
          payload: one.payload,
          firstAt: one.at,
          lastAt: one.at,
          acceptedAt: undefined,
          isUnsure: false,
          isRefused: false,
        });
      else message.lastAt = one.at;
    } else if (message !== undefined) {
      if (one.kind === "accepted") message.acceptedAt ??= one.at;
      else if (one.kind === "unsure") message.isUnsure = true;
      else message.isRefused = true;
    }
  }

  #reader(subscriber: string, topic: string): Reader {
    const key = `${subscriber} ${topic}`;
    let reader = this.#readers.get(key);
    if (reader === undefined)
      this.#readers.set(
        key,
        (reader = {
          confirmedAt: Infinity,
          asked: false,
          got: new Map(),
          last: new Map(),
          lastAt: -Infinity,
          order: [],
          resetAt: -Infinity,
        }),
      );
    return reader;
  }

  #step(one: Seen): void {
    switch (one.kind) {
      case "asked":
        this.#reader(one.subscriber, one.topic).asked = true;
        return;
      case "left":
      case "ended":
        Object.assign(this.#reader(one.subscriber, one.topic), {
          confirmedAt: Infinity,
          ...(one.kind === "left" ? { asked: false } : {}),
        });
        return;
      case "confirmed": {
        const reader = this.#reader(one.subscriber, one.topic);
        reader.confirmedAt = Math.min(reader.confirmedAt, one.at);
        return;
      }
      case "received":
        return this.#received(one);
      case "expired":
        return this.#expired(one);
      case "planAccepted":
        this.#plans.push({ at: one.at, plan: JSON.parse(one.text) as Plan, text: one.text });
        return;
      case "planRead":
        return this.#planRead(one);
      case "planLost":
        return this.#breach("plan-lost", one.at, one.why);
      case "refused":
        return this.#refused(one);
      default:
    }
  }

  #received(one: Extract<Seen, { kind: "received" }>): void {
    const reader = this.#reader(one.subscriber, one.topic);
    const key = keyOf(one.sender, one.number);
    const what = `${one.subscriber} on ${one.topic}: ${key}`;
    const message = this.#messages.get(one.topic)?.get(key);
    if (!reader.asked) this.#breach("not-asked", one.at, `${what} on a topic that was not asked for`);
    if (message === undefined || message.firstAt > one.at)
      this.#breach("nobody-sent", one.at, `${what} was never sent`);
    else if (message.payload !== one.payload) this.#breach("changed-bytes", one.at, `${what} came with other bytes`);
    else if (message.isRefused && message.acceptedAt === undefined && !message.isUnsure && message.lastAt < one.at)
      this.#breach("refused-delivered", one.at, `${what} was delivered though every try was refused`);
    if (reader.got.has(key)) this.#breach("twice", one.at, `${what} came twice`);
    else {
      const last = reader.last.get(one.sender) ?? 0;
      if (one.number < last) this.#breach("sender-order", one.at, `${what} came after number ${last}`);
      reader.last.set(one.sender, Math.max(last, one.number));
      reader.got.set(key, one.at);
      reader.order.push(key);
    }
    reader.lastAt = one.at;
    if (message !== undefined) this.#afterRemoval(one, message);
  }

  /** New messages of a space that the plan in force for more than 3 s does not have. */
  #afterRemoval(one: Extract<Seen, { kind: "received" }>, message: Message): void {
    const inForce = this.#plans.filter((plan) => plan.at <= message.firstAt - Checker.takeUpMs).at(-1);
    if (inForce === undefined) return;
    const since = this.#plans.slice(this.#plans.indexOf(inForce));
    if (since.every(({ plan }) => Plans.owed(plan, one.topic) === undefined))
      this.#breach(
        "removed-space",
        one.at,
        `${one.topic}: ${keyOf(one.sender, one.number)} was sent and delivered over 3 s after its space was removed`,
      );
  }

  /** A space in force for more than 3 s must be known to whoever is asked. */
  #refused(one: Extract<Seen, { kind: "refused" }>): void {
    if (one.code !== "unknown-topic") return;
    const inForce = this.#plans.filter((plan) => plan.at <= one.at - Checker.takeUpMs).at(-1);
    if (inForce === undefined) return;
    const since = this.#plans.slice(this.#plans.indexOf(inForce)).filter((plan) => plan.at <= one.at + 1000);
    if (since.every(({ plan }) => Plans.owed(plan, one.topic) !== undefined))
      this.#breach("plan-late", one.at, `${one.topic} was unknown more than 3 s after the plan was accepted`);
  }

  #expired(one: Extract<Seen, { kind: "expired" }>): void {
    const reader = this.#reader(one.subscriber, one.topic);
    reader.resetAt = one.at;
    if (one.reason === "the topic was made again") return;
    const missed = [...(this.#messages.get(one.topic)?.values() ?? [])].filter(
      (message) =>
        message.acceptedAt !== undefined &&
        message.firstAt >= reader.confirmedAt &&
        message.acceptedAt < one.at &&
        !reader.got.has(keyOf(message.sender, message.number)),
    );
    if (missed.every((message) => one.at - message.acceptedAt! < Checker.leastKeepMs))
      this.#breach(
        "expired-early",
        one.at,
        `${one.subscriber} on ${one.topic} was told its place expired; all it missed was younger than 35 s`,
      );
  }

  #planRead(one: Extract<Seen, { kind: "planRead" }>): void {
    const newest = this.#plans.reduce<{ plan: Plan; text: string } | undefined>(
      (best, plan) => (best === undefined || plan.plan.mark > best.plan.mark ? plan : best),
      undefined,
    );
    if (newest !== undefined && newest.text !== one.text)
      this.#breach(
        "plan-read-back",
        one.at,
        `the plan read back is not the one accepted last (mark ${newest.plan.mark})`,
      );
  }

  /** Everything accepted after a confirmation must have come, unless the topic or the place was lost to a rule. */
  #missing(): void {
    for (const [key, reader] of this.#readers) {
      if (reader.confirmedAt === Infinity) continue;
      const [subscriber, topic] = key.split(" ") as [string, string];
      for (const message of this.#messages.get(topic)?.values() ?? []) {
        const id = keyOf(message.sender, message.number);
        if (
          message.acceptedAt === undefined ||
          message.acceptedAt > this.#endAt ||
          message.firstAt < Math.max(reader.confirmedAt, reader.resetAt) ||
          reader.got.has(id)
        )
          continue;
        const isSkipped = (reader.last.get(message.sender) ?? 0) > message.number;
        this.#breach(
          isSkipped ? "skipped" : "missing",
          message.acceptedAt,
          `${subscriber} on ${topic}: ${id} was accepted and never came`,
        );
      }
    }
  }

  #orders(): void {
    const graphs = new Map<string, OrderGraph>();
    for (const [key, reader] of this.#readers) {
      const topic = key.slice(key.indexOf(" ") + 1);
      const isOne = this.#plans.some(({ plan }) => Plans.owed(plan, topic)?.order === "one");
      if (!isOne) continue;
      let graph = graphs.get(topic);
      if (graph === undefined) graphs.set(topic, (graph = new OrderGraph()));
      graph.add(reader.order);
    }
    for (const [topic, graph] of graphs)
      if (graph.hasCycle()) this.#breach("one-order", this.#endAt, `${topic}: two subscribers saw different orders`);
  }
}
