import type { Seen } from "./history.js";

export interface Delivery {
  subscriber: string;
  topic: string;
  id: string;
  triedAt: number;
  at: number;
  delay: number;
}

/** How long messages took, from their first try to each subscriber that was owed them. */
export const Lateness = {
  /** Nothing may take longer. */
  maxMs: 2000,
  aimMs: 333,

  /**
   * Replies by subscribers that were confirmed when the message was first tried and have not dropped off of
   * their own accord since. A connection that broke, or a node that fell silent, excuses nothing.
   */
  deliveries(seen: readonly Seen[]): Delivery[] {
    const first = new Map<string, number>();
    const confirmed = new Map<string, Map<string, number>>();
    const deliveries: Delivery[] = [];
    const topicsOf = (subscriber: string): Map<string, number> => {
      const topics = confirmed.get(subscriber) ?? new Map<string, number>();
      confirmed.set(subscriber, topics);
      return topics;
    };
    for (const one of seen) {
      if (one.kind === "tried") {
        const key = `${one.topic} ${one.sender}#${one.number}`;
        if (!first.has(key)) first.set(key, one.at);
      } else if (one.kind === "closed") {
        if (one.isOwn) confirmed.delete(one.subscriber);
      } else if (one.kind === "ended" || one.kind === "expired") topicsOf(one.subscriber).delete(one.topic);
      else if (one.kind === "confirmed") {
        const topics = topicsOf(one.subscriber);
        if (!topics.has(one.topic)) topics.set(one.topic, one.at);
      } else if (one.kind === "received") {
        const { subscriber, topic, at } = one;
        const id = `${one.sender}#${one.number}`;
        const triedAt = first.get(`${topic} ${id}`) ?? -Infinity;
        const since = confirmed.get(subscriber)?.get(topic) ?? Infinity;
        if (triedAt >= since) deliveries.push({ subscriber, topic, id, triedAt, at, delay: at - triedAt });
      }
    }
    return deliveries;
  },

  figures(delays: readonly number[]): { deliveries: number; p50: number; p99: number; max: number; above2000: number } {
    const sorted = [...delays].sort((a, b) => a - b);
    const rank = (share: number): number =>
      Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
    const above2000 = sorted.filter((delay) => delay > Lateness.maxMs).length;
    return {
      deliveries: sorted.length,
      p50: rank(0.5),
      p99: rank(0.99),
      max: Math.round(sorted.at(-1) ?? 0),
      above2000,
    };
  },

  /** Late replies counted by what was going on between the try and the reply; nothing is a cause of its own. */
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
