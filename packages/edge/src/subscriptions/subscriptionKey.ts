import { Cursors, type Cursor } from "./cursor.js";

/** The stored keys of a session's subscriptions: each topic with the cursor after which it is to be delivered. */
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

  write({ incarnation, seq }: Cursor): Uint8Array {
    return Buffer.from(Cursors.write(incarnation, seq));
  },

  read(value: Uint8Array): Cursor | undefined {
    return Cursors.read(Buffer.from(value).toString());
  },
};
