import { EventEmitter } from "node:events";
import type { Kv, Pull, PullReceipt } from "@cranetrack/chest/gen/cranetrack_pb.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { LeaseKeeper } from "@cranetrack/chest/process/leaseKeeper.js";
import type { Body, BodyInit } from "@cranetrack/chest/process/wire.js";
import { OwnerKey } from "../mark/ownerKey.js";
import type { Owner, OwnersView } from "../mark/ownersView.js";
import { SubscriptionKey } from "../mark/subscriptionKey.js";
import { Session } from "./session.js";

export type Claimed = { session: Session } | { comeBack: number; reason: string };
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
  static readonly pullDue = 700;
  /** What lies between the end of a lease and everybody's hearing of it; and what is soon enough to be waited for. */
  static readonly expiryMs = 100;
  static readonly soonMs = 400;
  static readonly keepShippedMs = 30_000;
  static readonly keepIdleMs = 60_000;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeeper;
  readonly #owners: OwnersView;
  readonly #table = new Map<string, Session>();
  readonly #claiming = new Set<string>();
  /** State already shipped, for an asker whose receipt was lost. */
  readonly #shipped = new Map<string, Shipped>();

  constructor(node: ClusterNode, lease: LeaseKeeper, owners: OwnersView) {
    super();
    this.#node = node;
    this.#lease = lease;
    this.#owners = owners;
    node.exchange.serve("pull", (pull) => this.#ship(pull));
    lease.on("lost", () => this.#dropAll());
    node.parts.clock.every(1000, () => this.#tend());
  }

  get table(): ReadonlyMap<string, Session> {
    return this.#table;
  }

  /** States that were shipped and are kept a while. */
  get keptPulls(): number {
    return this.#shipped.size;
  }

  get links(): number {
    let links = 0;
    for (const session of this.#table.values()) if (session.link !== undefined) links += 1;
    return links;
  }

  find(id: string): Session | undefined {
    return this.#lease.isHeld ? this.#table.get(id) : undefined;
  }

  /** Makes this node the session's owner, or says when to come back. */
  async claim(id: string): Promise<Claimed> {
    const own = this.find(id);
    if (own !== undefined) return { session: own };
    if (this.#claiming.has(id)) return { comeBack: 0.3, reason: "another resume of this session is under way" };
    this.#claiming.add(id);
    let claimed = await this.#claim(id);
    // The owner's lease was lost while it was being asked: its key is free now.
    if (claimed === "freed") claimed = await this.#claim(id);
    this.#claiming.delete(id);
    return claimed === "freed" ? { comeBack: 0.1, reason: "the session is changing hands" } : claimed;
  }

  async #claim(id: string): Promise<Claimed | "freed"> {
    const { lease } = this.#lease;
    if (!this.#lease.isHeld) return { comeBack: 1, reason: "this node has no lease" };
    const key = OwnerKey.of(id);
    const read = await this.#node.store.read([key], [SubscriptionKey.prefix(id)]);
    if (read.outcome !== "done") return { comeBack: 1, reason: "the store does not answer" };
    const kept = read.kvs!.find((kv) => kv.key === key);
    const record = kept === undefined ? undefined : OwnerKey.read(kept.value);
    const owner = kept === undefined || record === undefined ? undefined : { ...record, revision: kept.revision };
    const shipped = owner === undefined ? undefined : await this.#pull(id, owner, lease, kept!.leaseLeft);
    if (shipped === "freed" || (shipped !== undefined && "comeBack" in shipped)) return shipped;
    const value = OwnerKey.write({ node: this.#node.exchange.name, lease });
    const written = await this.#node.store.txn({
      checks: [{ key, revision: kept?.revision ?? 0 }],
      puts: [{ key, value, lease }],
    });
    const revision =
      written.outcome === "unsure"
        ? await this.#settle(key, lease)
        : written.outcome === "done"
          ? written.revision!
          : 0;
    if (revision === 0)
      return {
        comeBack: 0.3,
        reason:
          written.outcome === "conflict" ? "another resume of this session won" : "the owner key could not be written",
      };
    if (!this.#lease.isHeld || this.#lease.lease !== lease) return { comeBack: 1, reason: "this node lost its lease" };
    this.emit("step", "owner-written", id);
    const session = new Session(id, revision);
    this.#fill(
      session,
      read.kvs!.filter((kv) => kv !== kept),
      shipped?.state,
    );
    this.#table.set(id, session);
    return { session };
  }

  /** Gives sessions back to the store, with their cursors, so that anyone may take them at once. */
  async release(session: Session): Promise<void> {
    this.#prepare(session);
    const key = OwnerKey.of(session.id);
    const lease = SubscriptionKey.leaseOf(session.id);
    const puts = [...session.allPlaces()].map(([topic, place]) => ({
      key: SubscriptionKey.of(session.id, topic),
      value: SubscriptionKey.write(place),
      lease,
    }));
    const released = await this.#node.store.txn({ checks: [{ key, revision: session.epoch }], puts, deletes: [key] });
    if (released.outcome === "lost")
      await this.#node.store.txn({ checks: [{ key, revision: session.epoch }], deletes: [key] });
  }

  /** Closes every link; the sessions stay to be pulled until released. */
  goodbye(reason: string, comeBack: () => number): void {
    for (const session of this.#table.values()) session.unlink(reason, comeBack(), this.#node.parts.clock.now());
  }

  async #pull(
    id: string,
    owner: Owner,
    lease: string,
    leaseLeft: number,
  ): Promise<{ state: PullReceipt } | { comeBack: number; reason: string } | "freed" | undefined> {
    if (owner.node === this.#node.exchange.name && owner.lease !== lease) {
      // This very process, or one before it at the same address, held that lease and is gone from it.
      await this.#node.store.call({ case: "revoke", value: { lease: owner.lease } });
      return { comeBack: 0.2, reason: "an earlier lease of this node is being given up" };
    }
    if (owner.node === this.#node.exchange.name) return undefined;
    this.emit("step", "pull", id);
    const receipt = await this.#ask(id, owner, leaseLeft);
    if (receipt?.case !== "pullReceipt") {
      const present = this.#owners.find(id);
      if (present !== undefined && present.revision !== owner.revision) return "freed";
      if (present === undefined && this.#node.feed.isFresh) return "freed";
      const comeBack = (leaseLeft + Sessions.expiryMs) / 1000;
      return { comeBack, reason: `the owner ${owner.node} does not answer; its lease must run out first` };
    }
    if (receipt.value.outcome !== "shipped")
      return {
        comeBack: receipt.value.comeBack || 0.3,
        reason: `the owner ${owner.node} says ${receipt.value.outcome}`,
      };
    this.emit("step", "shipped", id);
    return { state: receipt.value };
  }

  /** Asks the owner for the session, as long as it may answer and its key is there. */
  #ask(id: string, owner: Owner, leaseLeft: number): Promise<Body | undefined> {
    const { exchange, parts } = this.#node;
    const ask = { session: id, ownerRevision: owner.revision, asker: exchange.name };
    const isMute = exchange.isMute(owner.node);
    const due = isMute ? Math.min(leaseLeft + Sessions.expiryMs, Sessions.soonMs) : Sessions.pullDue;
    const left = this.#owners.left(id, owner.revision, parts.clock, due);
    if (isMute) return leaseLeft + Sessions.expiryMs > Sessions.soonMs ? Promise.resolve(undefined) : left;
    return Promise.race([exchange.call(owner.node, { case: "pull", value: ask }, Sessions.pullDue), left]);
  }

  /** The old owner's part: close the link, stop, prepare, ship. */
  #ship(pull: Pull): BodyInit {
    const session = this.#table.get(pull.session);
    const again = this.#shipped.get(`${pull.session}@${pull.ownerRevision}`);
    if (session === undefined || session.epoch !== pull.ownerRevision) return again?.body ?? this.#shipNothing(pull);
    session.unlink("taken over", 0, this.#node.parts.clock.now());
    this.emit("step", "stopped", pull.session);
    return this.#prepare(session);
  }

  #prepare(session: Session): BodyInit {
    session.isStopped = true;
    this.#table.delete(session.id);
    const subscriptions = [...session.allPlaces()].map(([topic, { birth, seq }]) => ({ topic, birth, cursor: seq }));
    const numbers = [...session.numbers].map(([topic, { number, isOpen }]) => ({ topic, number, isOpen }));
    const body: BodyInit = { case: "pullReceipt", value: { outcome: "shipped", subscriptions, numbers } };
    this.#shipped.set(`${session.id}@${session.epoch}`, { body, at: this.#node.parts.clock.now() });
    return body;
  }

  /** The key names this node, which does not have the session: it lost it with a lease, or never got it. */
  #shipNothing(pull: Pull): BodyInit {
    const owner = this.#table.get(pull.session);
    if (owner !== undefined || this.#claiming.has(pull.session))
      return { case: "pullReceipt", value: { outcome: "owned under another revision", comeBack: 0.3 } };
    return { case: "pullReceipt", value: { outcome: "shipped" } };
  }

  /** A write whose outcome is unknown: what does the key say now? */
  async #settle(key: string, lease: string): Promise<number> {
    const read = await this.#node.store.read([key]);
    const kept = read.kvs?.[0];
    if (read.outcome !== "done" || kept === undefined) return 0;
    const owner = OwnerKey.read(kept.value);
    return owner?.node === this.#node.exchange.name && owner.lease === lease ? kept.revision : 0;
  }

  #fill(session: Session, kvs: Kv[], shipped: PullReceipt | undefined): void {
    for (const kv of kvs) {
      const place = SubscriptionKey.read(kv.value);
      if (place !== undefined) session.places.set(kv.key.slice(SubscriptionKey.prefix(session.id).length), place);
    }
    for (const { topic, birth, cursor } of shipped?.subscriptions ?? [])
      session.places.set(topic, { birth, seq: cursor });
    for (const { topic, number, isOpen } of shipped?.numbers ?? []) session.numbers.set(topic, { number, isOpen });
  }

  #dropAll(): void {
    for (const session of [...this.#table.values()]) {
      session.isStopped = true;
      session.unlink("this node lost its lease", 0.2, this.#node.parts.clock.now());
    }
    this.#table.clear();
  }

  #tend(): void {
    const now = this.#node.parts.clock.now();
    for (const [id, { at }] of this.#shipped) if (now - at > Sessions.keepShippedMs) this.#shipped.delete(id);
    if (!this.#lease.isHeld) return;
    for (const session of [...this.#table.values()])
      if (session.link === undefined && now - session.leftAt > Sessions.keepIdleMs) void this.release(session);
  }
}
