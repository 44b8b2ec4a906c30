import { Cursors, type Cursor } from "./cursor.js";

/** The store's keys of a session's subscriptions: one per topic, with the cursor after which delivery continues. */
export const SubscriptionKey = {
  /** Prefix of the keys of a session. */
  prefix(session: string): string {
    return `sessions/${session}/subscriptions/`;
  },

  /** Key of a session's subscription to a topic. */
  of(session: string, topic: string): string {
    return SubscriptionKey.prefix(session) + topic;
  },

  /** The lease of a session's keys, which lasts as long as the client may resume the session. */
  leaseOf(session: string): string {
    return `session:${session}`;
  },

  /** Encodes the value of a key. */
  write({ incarnation, seq }: Cursor): Uint8Array {
    return Buffer.from(Cursors.write(incarnation, seq));
  },

  /** Decodes the value of a key; undefined if it is malformed. */
  read(value: Uint8Array): Cursor | undefined {
    return Cursors.read(Buffer.from(value).toString());
  },
};
