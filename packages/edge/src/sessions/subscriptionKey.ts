import { Places, type Place } from "../subscriptions/cursor.js";

/** The keys of a session's subscriptions: each topic with the place from which it is owed. */
export const SubscriptionKey = {
  prefix(session: string): string {
    return `sessions/${session}/subscriptions/`;
  },

  of(session: string, topic: string): string {
    return SubscriptionKey.prefix(session) + topic;
  },

  /** The lease that keeps them while the session's client may come back. */
  leaseOf(session: string): string {
    return `session:${session}`;
  },

  write({ incarnation, seq }: Place): Uint8Array {
    return Buffer.from(Places.write(incarnation, seq));
  },

  read(value: Uint8Array): Place | undefined {
    return Places.read(Buffer.from(value).toString());
  },
};
