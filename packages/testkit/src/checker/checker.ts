import { Configurations, type TopicContract } from "@cranetrack/core/configuration/configuration.js";
import type { Seen } from "./history.js";
import { OrderGraph } from "./orderGraph.js";
import { ConfigurationHistory } from "./configurationHistory.js";

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
  tries: number[];
  acceptedAt: number | undefined;
  isUnknown: boolean;
  isRefused: boolean;
}
interface Reader {
  confirmedAt: number;
  asked: boolean;
  got: Map<string, number>;
  last: Map<string, number>;
  resetAt: number;
  /** When it last had the topic. */
  seenAt: number;
  /** Could not have the topic on a connection that it had; and until when it caught up after that. */
  isLagging: boolean;
  lagsUntil: number;
}

const keyOf = (sender: string, number: number): string => `${sender}#${number}`;
const isSmall = (contract: TopicContract, payload: string): boolean =>
  Buffer.byteLength(payload) <= (contract.maxBytes ?? 65_536);

/**
 * Judges a history by the users' list of what must never happen, but for how late a message is. Knows only what
 * callers and operators saw.
 */
export class Checker {
  static readonly minRetentionMs = 35_000;
  static readonly maxRetentionMs = 60_000;

  readonly #seen: readonly Seen[];
  readonly #endAt: number;
  readonly #breaches: Breach[] = [];
  readonly #messages = new Map<string, Map<string, Message>>();
  readonly #readers = new Map<string, Reader>();
  readonly #configurations: ConfigurationHistory;
  /** By stream of one order and subscriber: what came, in its order. */
  readonly #orders = new Map<string, Map<string, string[]>>();
  readonly #versions = new Map<string, number>();

  constructor(seen: readonly Seen[], endAt: number) {
    this.#seen = seen;
    this.#endAt = endAt;
    this.#configurations = new ConfigurationHistory(seen);
  }

  static check(seen: readonly Seen[], endAt: number): Breach[] {
    return new Checker(seen, endAt).#check();
  }

  #check(): Breach[] {
    for (const one of this.#seen)
      if (one.kind === "tried" || one.kind === "accepted" || one.kind === "refused" || one.kind === "unsure")
        this.#note(one);
    for (const one of this.#seen) this.#step(one);
    this.#missing();
    this.#checkOrders();
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
          tries: [one.at],
          acceptedAt: undefined,
          isUnknown: false,
          isRefused: false,
        });
      else message.tries.push(one.at);
    } else if (message !== undefined) {
      if (one.kind === "accepted") message.acceptedAt ??= one.at;
      else if (one.kind === "unsure") message.isUnknown = true;
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
          resetAt: -Infinity,
          seenAt: -Infinity,
          isLagging: false,
          lagsUntil: -Infinity,
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
      case "faulted":
        this.#reader(one.subscriber, one.topic).isLagging = true;
        return;
      case "confirmed": {
        const reader = this.#reader(one.subscriber, one.topic);
        reader.confirmedAt = Math.min(reader.confirmedAt, one.at);
        reader.seenAt = one.at;
        if (reader.isLagging) reader.lagsUntil = one.at;
        reader.isLagging = false;
        return;
      }
      case "received":
        return this.#received(one);
      case "expired":
        return this.#expired(one);
      case "accepted":
        return this.#accepted(one);
      case "marked":
        return this.#marked(one);
      case "planRead":
        return this.#configurationRead(one);
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
    else if (
      message.isRefused &&
      message.acceptedAt === undefined &&
      !message.isUnknown &&
      message.tries.at(-1)! < one.at
    )
      this.#breach("refused-delivered", one.at, `${what} was delivered though every try was refused`);
    if (reader.got.has(key)) this.#breach("twice", one.at, `${what} came twice`);
    else {
      const last = reader.last.get(one.sender) ?? 0;
      if (one.number < last) this.#breach("sender-order", one.at, `${what} came after number ${last}`);
      reader.last.set(one.sender, Math.max(last, one.number));
      reader.got.set(key, one.at);
      this.#keepOrder(one, message, reader);
    }
    reader.seenAt = one.at;
    if (message !== undefined) this.#afterRemoval(one, message);
  }

  /**
   * The order in which a subscriber sees a space, or a topic, that has one order for all. A topic that could not be
   * had for a while, on a connection that went on with others, catches up afterwards; what it missed has no place in
   * it.
   */
  #keepOrder(one: Extract<Seen, { kind: "received" }>, message: Message | undefined, reader: Reader): void {
    const stream = this.#configurations.oneOrderOf(one.topic);
    if (stream === undefined || message === undefined || message.firstAt < reader.lagsUntil) return;
    const streams = this.#orders.get(stream) ?? new Map<string, string[]>();
    this.#orders.set(stream, streams);
    const order = streams.get(one.subscriber) ?? [];
    streams.set(one.subscriber, order);
    order.push(`${one.topic} ${keyOf(one.sender, one.number)}`);
  }

  /** New messages of a space that no configuration in force for more than 3 s has. */
  #afterRemoval(one: Extract<Seen, { kind: "received" }>, message: Message): void {
    const contracts = this.#configurations.contractsBetween(one.topic, message.firstAt, one.at);
    if (contracts === undefined || contracts.some((contract) => contract !== undefined)) return;
    const what = `${one.topic}: ${keyOf(one.sender, one.number)}`;
    this.#breach("removed-space", one.at, `${what} was sent and delivered over 3 s after its space was removed`);
  }

  /**
   * A rule in force for more than 3 s must be known to whoever is asked: what all configurations allow is not refused.
   */
  #refused(one: Extract<Seen, { kind: "refused" }>): void {
    const message = this.#messages.get(one.topic)?.get(keyOf(one.sender, one.number));
    const contracts = this.#configurations.contractsBetween(
      one.topic,
      message?.tries.findLast((at) => at <= one.at) ?? one.at,
      one.at,
    );
    if (contracts === undefined || message === undefined) return;
    const isWrong = contracts.every((contract) => {
      if (one.code === "unknown-topic") return contract !== undefined;
      if (one.code === "not-a-publisher")
        return contract !== undefined && Configurations.mayPublish(contract, one.sender);
      return one.code === "too-large" && contract !== undefined && isSmall(contract, message.payload);
    });
    const what = `${one.topic}: ${keyOf(one.sender, one.number)}`;
    if (isWrong)
      this.#breach("plan-late", one.at, `${what} was refused (${one.code}) over 3 s after a plan allowed it`);
  }

  /** And what none of them allows is not accepted. */
  #accepted(one: Extract<Seen, { kind: "accepted" }>): void {
    const message = this.#messages.get(one.topic)?.get(keyOf(one.sender, one.number));
    if (message === undefined) return;
    // An earlier try may have been taken under an earlier configuration.
    const contracts = this.#configurations.contractsBetween(one.topic, message.firstAt, one.at);
    if (contracts === undefined) return;
    const isAllowed = contracts.some(
      (contract) =>
        contract !== undefined && Configurations.mayPublish(contract, one.sender) && isSmall(contract, message.payload),
    );
    const what = `${one.topic}: ${keyOf(one.sender, one.number)}`;
    if (!isAllowed) this.#breach("plan-late", one.at, `${what} was accepted over 3 s after the plans ruled it out`);
  }

  /** A node may forget its configuration with a restart, but never goes back to an older one. */
  #marked({ node, version, at }: Extract<Seen, { kind: "marked" }>): void {
    const before = this.#versions.get(node) ?? 0;
    if (version > 0 && version < before)
      this.#breach("slipped-back", at, `${node} showed mark ${version} after ${before}`);
    this.#versions.set(node, Math.max(before, version));
  }

  #expired(one: Extract<Seen, { kind: "expired" }>): void {
    const reader = this.#reader(one.subscriber, one.topic);
    reader.resetAt = one.at;
    const { seenAt } = reader;
    reader.seenAt = one.at;
    if (this.#configurations.wasGone(one.topic, seenAt, one.at)) return;
    const keeps = this.#configurations.contractsBetween(one.topic, one.at - Checker.maxRetentionMs, one.at) ?? [];
    const retentionMs = Math.max(
      Checker.minRetentionMs,
      Math.min(...keeps.map((contract) => (contract?.keep ?? 0) * 1000)) * 0.98,
    );
    const minMs = keeps.length === 0 ? Checker.minRetentionMs : retentionMs;
    const missed = [...(this.#messages.get(one.topic)?.values() ?? [])].filter(
      (message) =>
        message.acceptedAt !== undefined &&
        message.firstAt >= reader.confirmedAt &&
        message.acceptedAt < one.at &&
        !reader.got.has(keyOf(message.sender, message.number)),
    );
    if (missed.every((message) => one.at - message.acceptedAt! < minMs))
      this.#breach(
        "expired-early",
        one.at,
        `${one.subscriber} on ${one.topic} was told its place expired; all it missed was younger than ${minMs} ms`,
      );
  }

  #configurationRead(one: Extract<Seen, { kind: "planRead" }>): void {
    const { newest } = this.#configurations;
    if (newest === undefined || newest.text === one.text || this.#configurations.mayHaveBeenAccepted(one.text)) return;
    const what = `the plan read back is not the one accepted last (mark ${newest.configuration.version})`;
    this.#breach("plan-read-back", one.at, what);
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

  #checkOrders(): void {
    for (const [stream, orders] of this.#orders) {
      const graph = new OrderGraph();
      for (const order of orders.values()) graph.add(order);
      if (graph.hasCycle()) this.#breach("one-order", this.#endAt, `${stream}: two subscribers saw different orders`);
    }
  }
}
