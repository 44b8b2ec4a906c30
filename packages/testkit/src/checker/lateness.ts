import type { HistoryEvent } from "./history.js";

/** One message received by one subscriber. Times are those of the history; `delay` is in milliseconds. */
export interface Delivery {
  subscriber: string;
  topic: string;
  id: string;
  /** When the publisher first tried to send the message. */
  triedAt: number;
  at: number;
  delay: number;
}

/** Delivery delay: the time from a message's first attempt to its arrival at each subscriber that was owed it. */
export const Lateness = {
  /** The bound on the delay of every delivery, in milliseconds. */
  maxMs: 2000,
  /** The delay aimed for, in milliseconds. */
  aimMs: 333,

  /**
   * Deliveries to subscribers whose subscription was confirmed when the message was first tried and that have not
   * closed their connection themselves since. A broken connection or a silent node does not exempt a delivery.
   */
  deliveries(seen: readonly HistoryEvent[]): Delivery[] {
    const firstTriedAt = new Map<string, number>();
    const confirmedAt = new Map<string, Map<string, number>>();
    const deliveries: Delivery[] = [];
    const topicsOf = (subscriber: string): Map<string, number> => {
      const topics = confirmedAt.get(subscriber) ?? new Map<string, number>();
      confirmedAt.set(subscriber, topics);
      return topics;
    };
    for (const event of seen) {
      if (event.kind === "tried") {
        const key = `${event.topic} ${event.sender}#${event.number}`;
        if (!firstTriedAt.has(key)) firstTriedAt.set(key, event.at);
      } else if (event.kind === "closed") {
        if (event.isOwn) confirmedAt.delete(event.subscriber);
      } else if (event.kind === "ended" || event.kind === "expired") topicsOf(event.subscriber).delete(event.topic);
      else if (event.kind === "confirmed") {
        const topics = topicsOf(event.subscriber);
        if (!topics.has(event.topic)) topics.set(event.topic, event.at);
      } else if (event.kind === "received") {
        const { subscriber, topic, at } = event;
        const id = `${event.sender}#${event.number}`;
        const triedAt = firstTriedAt.get(`${topic} ${id}`) ?? -Infinity;
        const since = confirmedAt.get(subscriber)?.get(topic) ?? Infinity;
        if (triedAt >= since) deliveries.push({ subscriber, topic, id, triedAt, at, delay: at - triedAt });
      }
    }
    return deliveries;
  },

  /** Count, percentiles and maximum of delays (milliseconds, rounded), and how many exceed `maxMs`. */
  summarize(delays: readonly number[]): {
    deliveries: number;
    p50: number;
    p99: number;
    max: number;
    above2000: number;
  } {
    const sorted = [...delays].sort((a, b) => a - b);
    const percentile = (share: number): number =>
      Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
    const above2000 = sorted.filter((delay) => delay > Lateness.maxMs).length;
    return {
      deliveries: sorted.length,
      p50: percentile(0.5),
      p99: percentile(0.99),
      max: Math.round(sorted.at(-1) ?? 0),
      above2000,
    };
  },

  /**
   * Counts late deliveries by the faults that were active between the first attempt and the delivery (joined by "+");
   * deliveries without any are counted under "nothing". `worst` is the longest delay in milliseconds.
   */
  byCause(deliveries: readonly Delivery[], causes: ReadonlyArray<{ what: string; from: number; to: number }>) {
    const counts = new Map<string, { count: number; worst: number }>();
    for (const { triedAt, at, delay } of deliveries) {
      if (delay <= Lateness.maxMs) continue;
      const active = causes.filter(({ from, to }) => from <= at && to >= triedAt).map(({ what }) => what);
      const cause = active.length === 0 ? "nothing" : [...new Set(active)].sort().join("+");
      const count = counts.get(cause) ?? { count: 0, worst: 0 };
      counts.set(cause, { count: count.count + 1, worst: Math.max(count.worst, Math.round(delay)) });
    }
    return counts;
  },
};
