/**
 * Entry point of the history checker. Its only input is a history (`history.ts`), recorded by the simulator or by real
 * processes, and it reports each violated rule by name. Delivery delay (`lateness`), acknowledged configurations
 * (`orderRules`), reads of the configuration (`configurationReads`) and topics without retention (`ephemeralRules`)
 * are checked by modules of their own.
 */

import { Configurations, type TopicContract } from "@cranetrack/core/configuration/configuration.js";
import type { HistoryEvent } from "./history.js";
import { Readers, type Reader } from "./readers.js";
import { keyOf, SentMessages, type SentMessage } from "./sentMessages.js";
import { OrderGraph } from "./orderGraph.js";
import { ConfigurationHistory } from "./configurationHistory.js";

/** A violation: the name of the rule, what was observed, and the time in milliseconds of the run's clock. */
export interface Breach {
  rule: string;
  text: string;
  at: number;
}

/** Whether a payload is within the contract's size limit, which is 64 KiB unless the contract sets one. */
const fitsPayloadLimit = (contract: TopicContract, payload: string): boolean =>
  Buffer.byteLength(payload) <= (contract.maxBytes ?? 65_536);

/**
 * Checks a history against the rules on delivery, order, retention and configuration that users rely on, except
 * delivery delay. It uses only what clients and operators observed.
 */
export class Checker {
  /** Shortest time for which every accepted message must stay available to subscribers that missed it. */
  static readonly minRetentionMs = 35_000;
  /** How far back configurations are looked up for the retention that they promised. */
  static readonly maxRetentionMs = 60_000;

  readonly #events: readonly HistoryEvent[];
  readonly #endAt: number;
  readonly #breaches: Breach[] = [];
  readonly #messages: SentMessages;
  readonly #readers = new Readers();
  readonly #configurations: ConfigurationHistory;
  /** By totally ordered stream, then by subscriber: the messages received, in the order of their arrival. */
  readonly #ordersByStream = new Map<string, Map<string, string[]>>();
  readonly #newestVersionByNode = new Map<string, number>();

  constructor(seen: readonly HistoryEvent[], endAt: number) {
    this.#events = seen;
    this.#endAt = endAt;
    this.#messages = new SentMessages(seen);
    this.#configurations = new ConfigurationHistory(seen);
  }

  /** All violations in a history that ended at `endAt`; empty if there are none. */
  static check(seen: readonly HistoryEvent[], endAt: number): Breach[] {
    return new Checker(seen, endAt).#check();
  }

  #check(): Breach[] {
    for (const event of this.#events) this.#apply(event);
    this.#checkMissing();
    this.#checkOrders();
    return this.#breaches;
  }

  #report(rule: string, at: number, text: string): void {
    this.#breaches.push({ rule, at, text });
  }

  #apply(event: HistoryEvent): void {
    switch (event.kind) {
      case "asked":
        this.#readers.find(event.subscriber, event.topic).isSubscribed = true;
        return;
      case "left":
      case "ended":
        Object.assign(this.#readers.find(event.subscriber, event.topic), {
          confirmedAt: Infinity,
          ...(event.kind === "left" ? { isSubscribed: false } : {}),
        });
        return;
      case "faulted":
        this.#readers.find(event.subscriber, event.topic).isLagging = true;
        return;
      case "confirmed": {
        const reader = this.#readers.find(event.subscriber, event.topic);
        reader.confirmedAt = Math.min(reader.confirmedAt, event.at);
        reader.lastSeenAt = event.at;
        if (reader.isLagging) reader.caughtUpAt = event.at;
        reader.isLagging = false;
        return;
      }
      case "received":
        return this.#checkReceived(event);
      case "expired":
        return this.#checkExpired(event);
      case "accepted":
        return this.#checkAccepted(event);
      case "marked":
        return this.#checkShownVersion(event);
      case "planRead":
        return this.#checkConfigurationRead(event);
      case "planLost":
        return this.#report("plan-lost", event.at, event.why);
      case "refused":
        return this.#checkRefused(event);
      default:
    }
  }

  #checkReceived(event: Extract<HistoryEvent, { kind: "received" }>): void {
    const reader = this.#readers.find(event.subscriber, event.topic);
    const key = keyOf(event.sender, event.number);
    const description = `${event.subscriber} on ${event.topic}: ${key}`;
    const message = this.#messages.find(event.topic, key);
    if (!reader.isSubscribed) this.#report("not-asked", event.at, `${description} on a topic that was not asked for`);
    if (message === undefined || message.firstAt > event.at)
      this.#report("nobody-sent", event.at, `${description} was never sent`);
    else if (message.payload !== event.payload)
      this.#report("changed-bytes", event.at, `${description} came with another payload`);
    else if (
      message.isRefused &&
      message.acceptedAt === undefined &&
      !message.isUnknown &&
      message.tries.at(-1)! < event.at
    )
      this.#report("refused-delivered", event.at, `${description} was delivered though every try was refused`);
    if (reader.receivedAt.has(key)) this.#report("twice", event.at, `${description} came twice`);
    else {
      const last = reader.lastNumbers.get(event.sender) ?? 0;
      if (event.number < last) this.#report("sender-order", event.at, `${description} came after number ${last}`);
      reader.lastNumbers.set(event.sender, Math.max(last, event.number));
      reader.receivedAt.set(key, event.at);
      this.#recordOrder(event, message, reader);
    }
    reader.lastSeenAt = event.at;
    if (message !== undefined) this.#checkRemovedSpace(event, message);
  }

  /**
   * Records the order in which a subscriber receives a stream with a total order (a space or a topic). Messages that
   * were sent while the topic was unavailable on an open connection are left out: they arrive later as catch-up and
   * have no place in that order.
   */
  #recordOrder(
    event: Extract<HistoryEvent, { kind: "received" }>,
    message: SentMessage | undefined,
    reader: Reader,
  ): void {
    const stream = this.#configurations.totalOrderStream(event.topic);
    if (stream === undefined || message === undefined || message.firstAt < reader.caughtUpAt) return;
    const streams = this.#ordersByStream.get(stream) ?? new Map<string, string[]>();
    this.#ordersByStream.set(stream, streams);
    const order = streams.get(event.subscriber) ?? [];
    streams.set(event.subscriber, order);
    order.push(`${event.topic} ${keyOf(event.sender, event.number)}`);
  }

  /** Reports messages sent and delivered over 3 s after their space was removed from the configuration. */
  #checkRemovedSpace(event: Extract<HistoryEvent, { kind: "received" }>, message: SentMessage): void {
    const contracts = this.#configurations.possibleContracts(event.topic, message.firstAt, event.at);
    if (contracts === undefined || contracts.some((contract) => contract !== undefined)) return;
    const description = `${event.topic}: ${keyOf(event.sender, event.number)}`;
    this.#report(
      "removed-space",
      event.at,
      `${description} was sent and delivered over 3 s after its space was removed`,
    );
  }

  /**
   * A configuration accepted more than 3 s ago must be in effect at every node: a message that all configurations
   * possibly in force allow must not be refused.
   */
  #checkRefused(event: Extract<HistoryEvent, { kind: "refused" }>): void {
    const message = this.#messages.find(event.topic, keyOf(event.sender, event.number));
    const contracts = this.#configurations.possibleContracts(
      event.topic,
      message?.tries.findLast((at) => at <= event.at) ?? event.at,
      event.at,
    );
    if (contracts === undefined || message === undefined) return;
    const isWrong = contracts.every((contract) => {
      if (event.code === "unknown-topic") return contract !== undefined;
      if (event.code === "not-a-publisher")
        return contract !== undefined && Configurations.mayPublish(contract, event.sender);
      return event.code === "too-large" && contract !== undefined && fitsPayloadLimit(contract, message.payload);
    });
    const description = `${event.topic}: ${keyOf(event.sender, event.number)}`;
    if (isWrong)
      this.#report(
        "plan-late",
        event.at,
        `${description} was refused (${event.code}) over 3 s after a plan allowed it`,
      );
  }

  /** Conversely, a message that none of the configurations possibly in force allows must not be accepted. */
  #checkAccepted(event: Extract<HistoryEvent, { kind: "accepted" }>): void {
    const message = this.#messages.find(event.topic, keyOf(event.sender, event.number));
    if (message === undefined) return;
    // An earlier attempt may have been accepted under an earlier configuration.
    const contracts = this.#configurations.possibleContracts(event.topic, message.firstAt, event.at);
    if (contracts === undefined) return;
    const isAllowed = contracts.some(
      (contract) =>
        contract !== undefined &&
        Configurations.mayPublish(contract, event.sender) &&
        fitsPayloadLimit(contract, message.payload),
    );
    const description = `${event.topic}: ${keyOf(event.sender, event.number)}`;
    if (!isAllowed)
      this.#report("plan-late", event.at, `${description} was accepted over 3 s after the plans ruled it out`);
  }

  /** A node may lose its configuration in a restart (version 0), but must never return to an older one. */
  #checkShownVersion({ node, version, at }: Extract<HistoryEvent, { kind: "marked" }>): void {
    const before = this.#newestVersionByNode.get(node) ?? 0;
    if (version > 0 && version < before)
      this.#report("slipped-back", at, `${node} showed version ${version} after ${before}`);
    this.#newestVersionByNode.set(node, Math.max(before, version));
  }

  /**
   * A subscriber may be told that its position expired only if it missed an accepted message that is older than the
   * retention promised by all configurations possibly in force. 2 % of it are tolerated.
   */
  #checkExpired(event: Extract<HistoryEvent, { kind: "expired" }>): void {
    const reader = this.#readers.find(event.subscriber, event.topic);
    reader.expiredAt = event.at;
    const { lastSeenAt } = reader;
    reader.lastSeenAt = event.at;
    if (this.#configurations.mayHaveBeenRemoved(event.topic, lastSeenAt, event.at)) return;
    const contracts =
      this.#configurations.possibleContracts(event.topic, event.at - Checker.maxRetentionMs, event.at) ?? [];
    const retentionMs = Math.max(
      Checker.minRetentionMs,
      Math.min(...contracts.map((contract) => (contract?.keep ?? 0) * 1000)) * 0.98,
    );
    const minMs = contracts.length === 0 ? Checker.minRetentionMs : retentionMs;
    const missed = this.#messages
      .ofTopic(event.topic)
      .filter(
        (message) =>
          message.acceptedAt !== undefined &&
          message.firstAt >= reader.confirmedAt &&
          message.acceptedAt < event.at &&
          !reader.receivedAt.has(keyOf(message.sender, message.number)),
      );
    if (missed.every((message) => event.at - message.acceptedAt! < minMs))
      this.#report(
        "expired-early",
        event.at,
        `${event.subscriber} on ${event.topic} was told its position expired; it missed nothing older than ${minMs} ms`,
      );
  }

  #checkConfigurationRead(event: Extract<HistoryEvent, { kind: "planRead" }>): void {
    const { newest } = this.#configurations;
    if (newest === undefined || newest.text === event.text || this.#configurations.mayHaveBeenAccepted(event.text))
      return;
    const description = `the plan read back is not the one accepted last (version ${newest.configuration.version})`;
    this.#report("plan-read-back", event.at, description);
  }

  /**
   * Every accepted message first tried after the subscription was confirmed must have been received, unless the
   * subscription ended or its position expired.
   */
  #checkMissing(): void {
    for (const [key, reader] of this.#readers.all) {
      if (reader.confirmedAt === Infinity) continue;
      const [subscriber, topic] = key.split(" ") as [string, string];
      for (const message of this.#messages.ofTopic(topic)) {
        const id = keyOf(message.sender, message.number);
        if (
          message.acceptedAt === undefined ||
          message.acceptedAt > this.#endAt ||
          message.firstAt < Math.max(reader.confirmedAt, reader.expiredAt) ||
          reader.receivedAt.has(id)
        )
          continue;
        const isSkipped = (reader.lastNumbers.get(message.sender) ?? 0) > message.number;
        this.#report(
          isSkipped ? "skipped" : "missing",
          message.acceptedAt,
          `${subscriber} on ${topic}: ${id} was accepted and never delivered`,
        );
      }
    }
  }

  /** The orders in which subscribers received a totally ordered stream must agree. */
  #checkOrders(): void {
    for (const [stream, orders] of this.#ordersByStream) {
      const graph = new OrderGraph();
      for (const order of orders.values()) graph.add(order);
      if (graph.hasCycle()) this.#report("one-order", this.#endAt, `${stream}: two subscribers saw different orders`);
    }
  }
}
