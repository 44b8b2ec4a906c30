import { EventEmitter } from "node:events";
import type { Kv, Pull, PullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import type { Body, BodyInit } from "@cranetrack/core/rpc/wire.js";
import { OwnerKey } from "./ownerKey.js";
import { SubscriptionKey } from "../subscriptions/subscriptionKey.js";
import { readOwner, type Owner } from "./readOwner.js";
import { Session } from "./session.js";

export type Claimed = { session: Session } | { retryAfterSeconds: number; reason: string };
interface Shipped {
  body: BodyInit;
  at: number;
}

/**
 * The sessions this node owns, and how one changes hands: the new node pulls from the old owner, which
 * stops, prepares and ships; only then is the key overwritten, by compare-and-set. An owner that does not
 * answer keeps the key until its lease is lost.
 * Invariant: a session is in the table only while its owner key was last seen written with this node's
 * present lease.
 */
export class Sessions extends EventEmitter<{ step: [step: string, session: string] }> {
  static readonly pullTimeoutMs = 700;
  /** What lies between the end of a lease and everybody's hearing of it; and what is soon enough to be waited for. */
  static readonly expiryMs = 100;
  static readonly soonMs = 400;
  static readonly keepShippedMs = 30_000;
  static readonly keepIdleMs = 60_000;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #table = new Map<string, Session>();
  readonly #claiming = new Set<string>();
  /** Sessions whose owner was seen to be gone with their state, and when: numbers may have been handed over. */
  readonly #orphans = new Map<string, number>();
  /** State already shipped, for an asker whose reply was lost. */
  readonly #shipped = new Map<string, Shipped>();

  constructor(node: ClusterNode, lease: LeaseKeepAlive) {
    super();
    this.#node = node;
    this.#lease = lease;
    node.rpc.serve("pull", (pull) => this.#ship(pull));
    lease.on("lost", () => this.#dropAll());
    node.parts.clock.every(1000, () => this.#expireIdle());
  }

  get table(): ReadonlyMap<string, Session> {
    return this.#table;
  }

  /** States that were shipped and are kept a while. */
  get keptPulls(): number {
    return this.#shipped.size;
  }

  get connections(): number {
    let connections = 0;
    for (const session of this.#table.values()) if (session.connection !== undefined) connections += 1;
    return connections;
  }

  find(id: string): Session | undefined {
    return this.#lease.isHeld ? this.#table.get(id) : undefined;
  }

  /**
   * Makes this node the session's owner, or says when to come back. With patience it comes back itself, as long as
   * that is soon enough.
   */
  async claim(id: string, patience = 0): Promise<Claimed> {
    const { clock } = this.#node.parts;
    const end = clock.now() + patience;
    for (;;) {
      const claimed = await this.#claimOnce(id);
      if ("session" in claimed || clock.now() + claimed.retryAfterSeconds * 1000 > end) return claimed;
      await new Promise<void>((resolve) => void clock.once(claimed.retryAfterSeconds * 1000, resolve));
    }
  }

  async #claimOnce(id: string): Promise<Claimed> {
    const own = this.find(id);
    if (own !== undefined) return { session: own };
    if (this.#claiming.has(id))
      return { retryAfterSeconds: 0.1, reason: "another resume of this session is under way" };
    this.#claiming.add(id);
    let claimed = await this.#claim(id);
    // The owner's lease was lost while it was being asked: its key is free now.
    if (claimed === "freed") claimed = await this.#claim(id);
    this.#claiming.delete(id);
    return claimed === "freed" ? { retryAfterSeconds: 0.1, reason: "the session is changing hands" } : claimed;
  }

  async #claim(id: string): Promise<Claimed | "freed"> {
    const { lease } = this.#lease;
    if (!this.#lease.isHeld) return { retryAfterSeconds: 1, reason: "this node has no lease" };
    const key = OwnerKey.of(id);
    const read = await readOwner(this.#node.store, id, [SubscriptionKey.prefix(id)]);
    if (read === undefined) return { retryAfterSeconds: 1, reason: "the store does not answer" };
    const { owner } = read;
    const shipped = owner === undefined || owner.node === "" ? undefined : await this.#pull(id, owner, lease);
    if (shipped === "freed" || (shipped !== undefined && "retryAfterSeconds" in shipped)) return shipped;
    const value = OwnerKey.write({ node: this.#node.rpc.name, lease });
    const written = await this.#node.store.txn({
      checks: [{ key, revision: owner?.revision ?? 0 }],
      puts: [{ key, value, lease }],
    });
    if (written.outcome === "conflict") return { retryAfterSeconds: 0.1, reason: "another resume of this session won" };
    const revision =
      written.outcome === "done" ? written.revision! : await this.#resolveUnknownWrite(id, lease, written.outcome);
    if (revision === 0) return { retryAfterSeconds: 0.3, reason: "the owner key could not be written" };
    if (!this.#lease.isHeld || this.#lease.lease !== lease)
      return { retryAfterSeconds: 1, reason: "this node lost its lease" };
    this.emit("step", "owner-written", id);
    const session = new Session(id, revision, !this.#orphans.delete(id));
    this.#fill(session, read.kvs, shipped?.state);
    this.#table.set(id, session);
    return { session };
  }

  /** Gives sessions back to the store, with their cursors, so that anyone may take them at once. */
  async release(session: Session): Promise<void> {
    this.#prepare(session);
    const key = OwnerKey.of(session.id);
    const lease = SubscriptionKey.leaseOf(session.id);
    const puts = [...session.allCursors()].map(([topic, cursor]) => ({
      key: SubscriptionKey.of(session.id, topic),
      value: SubscriptionKey.write(cursor),
      lease,
    }));
    const released = await this.#node.store.txn({ checks: [{ key, revision: session.epoch }], puts, deletes: [key] });
    if (released.outcome === "lost")
      await this.#node.store.txn({ checks: [{ key, revision: session.epoch }], deletes: [key] });
  }

  /** Closes every connection; the sessions stay to be pulled until released. */
  disconnectAll(reason: string, retryAfterSeconds: () => number, addressFor: (session: string) => string): void {
    for (const session of this.#table.values())
      session.disconnect(reason, retryAfterSeconds(), this.#node.parts.clock.now(), addressFor(session.id));
  }

  async #pull(
    id: string,
    owner: Owner,
    lease: string,
  ): Promise<{ state: PullReply } | { retryAfterSeconds: number; reason: string } | "freed" | undefined> {
    if (owner.node === this.#node.rpc.name && owner.lease !== lease) {
      // This very process, or one before it at the same address, held that lease and is gone from it.
      this.#orphans.set(id, this.#node.parts.clock.now());
      await this.#node.store.call({ case: "revoke", value: { lease: owner.lease } });
      return { retryAfterSeconds: 0.1, reason: "an earlier lease of this node is being given up" };
    }
    if (owner.node === this.#node.rpc.name) return undefined;
    this.emit("step", "pull", id);
    const reply = await this.#ask(id, owner);
    if (reply?.case !== "pullReply") return this.#unanswered(id, owner);
    if (reply.value.outcome !== "shipped")
      return {
        retryAfterSeconds: reply.value.retryAfterSeconds || 0.3,
        reason: `the owner ${owner.node} says ${reply.value.outcome}`,
      };
    this.emit("step", "shipped", id);
    if (reply.value.isLost) this.#orphans.set(id, this.#node.parts.clock.now());
    return { state: reply.value };
  }

  /** Asks the owner for the session; one known to be mute is not asked, only waited for where its lease ends soon. */
  async #ask(id: string, owner: Owner): Promise<Body | undefined> {
    const { rpc, parts } = this.#node;
    if (!rpc.isUnresponsive(owner.node)) {
      const ask = { session: id, ownerRevision: owner.revision, asker: rpc.name };
      return rpc.call(owner.node, { case: "pull", value: ask }, Sessions.pullTimeoutMs);
    }
    const left = owner.leaseLeft + Sessions.expiryMs;
    if (left <= Sessions.soonMs) await new Promise<void>((resolve) => void parts.clock.once(left, resolve));
    return undefined;
  }

  /** The owner said nothing. What does the store say of its key now? */
  async #unanswered(id: string, owner: Owner): Promise<"freed" | { retryAfterSeconds: number; reason: string }> {
    this.#orphans.set(id, this.#node.parts.clock.now());
    const now = await readOwner(this.#node.store, id);
    if (now !== undefined && now.owner?.revision !== owner.revision) return "freed";
    const leaseLeft = now?.owner?.leaseLeft ?? owner.leaseLeft;
    const retryAfterSeconds = (leaseLeft + Sessions.expiryMs) / 1000;
    return { retryAfterSeconds, reason: `the owner ${owner.node} does not answer; its lease must run out first` };
  }

  /** The old owner's part: close the connection, stop, prepare, ship. */
  #ship(pull: Pull): BodyInit {
    const session = this.#table.get(pull.session);
    const again = this.#shipped.get(`${pull.session}@${pull.ownerRevision}`);
    if (session === undefined || session.epoch !== pull.ownerRevision) return again?.body ?? this.#shipNothing(pull);
    session.disconnect("taken over", 0, this.#node.parts.clock.now());
    this.emit("step", "stopped", pull.session);
    return this.#prepare(session);
  }

  #prepare(session: Session): BodyInit {
    session.isStopped = true;
    this.#table.delete(session.id);
    const subscriptions = [...session.allCursors()].map(([topic, { incarnation, seq }]) => ({
      topic,
      incarnation,
      cursor: seq,
    }));
    const numbers = session.numbers.records();
    const body: BodyInit = { case: "pullReply", value: { outcome: "shipped", subscriptions, numbers } };
    this.#shipped.set(`${session.id}@${session.epoch}`, { body, at: this.#node.parts.clock.now() });
    return body;
  }

  /**
   * The key names this node, which does not have the session: it lost it with a lease, never got it, or shipped it to
   * an asker that never wrote the key, longer ago than shipped states are kept.
   */
  #shipNothing(pull: Pull): BodyInit {
    const owner = this.#table.get(pull.session);
    if (owner !== undefined || this.#claiming.has(pull.session))
      return { case: "pullReply", value: { outcome: "owned under another revision", retryAfterSeconds: 0.3 } };
    return { case: "pullReply", value: { outcome: "shipped", isLost: true } };
  }

  /** A write whose outcome is unknown: what does the key say now? */
  async #resolveUnknownWrite(id: string, lease: string, outcome: string): Promise<number> {
    if (outcome !== "unsure") return 0;
    const read = await readOwner(this.#node.store, id);
    const owner = read?.owner;
    return owner?.node === this.#node.rpc.name && owner.lease === lease ? owner.revision : 0;
  }

  #fill(session: Session, kvs: Kv[], shipped: PullReply | undefined): void {
    for (const kv of kvs) {
      const cursor = SubscriptionKey.read(kv.value);
      if (cursor !== undefined)
        session.resumeCursors.set(kv.key.slice(SubscriptionKey.prefix(session.id).length), cursor);
    }
    for (const { topic, incarnation, cursor } of shipped?.subscriptions ?? [])
      session.resumeCursors.set(topic, { incarnation, seq: cursor });
    session.numbers.restore(shipped?.numbers ?? []);
  }

  #dropAll(): void {
    for (const session of [...this.#table.values()]) {
      session.isStopped = true;
      session.disconnect("this node lost its lease", 0.2, this.#node.parts.clock.now());
    }
    this.#table.clear();
  }

  #expireIdle(): void {
    const now = this.#node.parts.clock.now();
    for (const [id, { at }] of this.#shipped) if (now - at > Sessions.keepShippedMs) this.#shipped.delete(id);
    for (const [id, at] of this.#orphans) if (now - at > Sessions.keepIdleMs) this.#orphans.delete(id);
    if (!this.#lease.isHeld) return;
    for (const session of [...this.#table.values()])
      if (session.connection === undefined && now - session.leftAt > Sessions.keepIdleMs) void this.release(session);
  }
}
