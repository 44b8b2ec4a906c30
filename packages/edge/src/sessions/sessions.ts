import { EventEmitter } from "node:events";
import type { Kv, Pull, PullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { StepTimes } from "@cranetrack/core/runtime/stepTimes.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import type { Body, BodyInit } from "@cranetrack/core/rpc/wire.js";
import { ClaimQueue, type ClaimAnswer, type OwnerClaim } from "./claimQueue.js";
import { OwnerEnds } from "./ownerEnds.js";
import { SubscriptionKey } from "../subscriptions/subscriptionKey.js";
import { readOwner, type Owner } from "./readOwner.js";
import { Session } from "./session.js";
import type { JoiningStep } from "./joiningStats.js";

/** Why a session could not be claimed, and when the client may try again. */
interface NotClaimed {
  retryAfterSeconds: number;
  reason: string;
  /** The store has no leader at the moment: whoever waits anyway need not wait as long as a client that comes back. */
  isStoreUnavailable?: boolean;
}
/** The session, owned by this node; or when the claim may be tried again. */
export type Claimed = { session: Session } | NotClaimed;
type Granted = Extract<ClaimAnswer, { outcome: "granted" }>;
/** What a new owner starts with. */
interface SessionState {
  /** From when on the publish numbers are known completely, in milliseconds of the monotonic clock. */
  readonly completeAt: number;
  readonly shipped?: PullReply | undefined;
}
interface Shipped {
  body: BodyInit;
  at: number;
}

/**
 * The sessions this node owns, and how one is taken over. The design is FluxMQ's ("Clustering: embedded etcd", sections
 * "Session Ownership" and "Session Takeover"), step by step:
 *
 * 1. Lease: each edge holds a lease in the metadata store; all its owner keys end with it (`LeaseKeepAlive`,
 * `#dropAll`).
 * 2. Owner key: the new node claims `sessions/ID/owner`, together with others (`ClaimQueue`). Where the key is there
 *    already, it is told the owner and the key's revision; that may be old, and nothing but the owner's answer and
 *    step 5 rests on it.
 * 3. Stop: the new node asks the old owner over RPC, not through the store (`#pull`); the old owner closes the client's
 *    connection and takes nothing more for the session (`#ship`).
 * 4. Ship: it replies with publish numbers and cursors (`#prepare`).
 * 5. Overwrite: only then does the new node write the owner key under its own lease, by compare-and-set on the revision
 *    of step 2 (`#claim`). The revision written is the session's epoch, the fencing token of its publishes.
 *
 * An owner that does not answer keeps the key until its lease runs out.
 * Invariant: a session is in the table only while its owner key was last seen written with this node's
 * present lease.
 */
export class Sessions extends EventEmitter<{ step: [step: string, session: string] }> {
  static readonly pullTimeoutMs = 700;
  /** Milliseconds between the end of a lease and every node's knowing of it. */
  static readonly expiryMs = 100;
  /** A lease that ends within so many milliseconds is waited for rather than reported. */
  static readonly soonMs = 400;
  /** Milliseconds between two claims of a connection that waits while the store has no leader. */
  static readonly storeRetryMs = 100;
  /** Milliseconds that a shipped state is kept, should its reply be lost. */
  static readonly keepShippedMs = 30_000;
  /** Milliseconds that a session without a connection is kept before its ownership is released. */
  static readonly keepIdleMs = 60_000;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #steps: StepTimes<JoiningStep>;
  readonly #table = new Map<string, Session>();
  readonly #claiming = new Set<string>();
  readonly #claims: ClaimQueue;
  readonly #ownerEnds: OwnerEnds;
  /** Earlier leases of this node that are being given up. */
  readonly #revoking = new Map<string, Promise<boolean>>();
  /** State already shipped, for a new owner whose reply was lost. */
  readonly #shipped = new Map<string, Shipped>();

  constructor(node: ClusterNode, lease: LeaseKeepAlive, steps: StepTimes<JoiningStep>) {
    super();
    this.#node = node;
    this.#lease = lease;
    this.#steps = steps;
    this.#claims = new ClaimQueue(node.store, node.rpc.name);
    this.#ownerEnds = new OwnerEnds(node.parts.clock, node.parts.settings.redeliveryMs);
    node.rpc.serve("pull", (pull) => this.#ship(pull));
    lease.on("lost", () => this.#dropAll());
    node.parts.clock.every(1000, () => this.#expireIdle());
  }

  /** By name, the sessions owned now. */
  get table(): ReadonlyMap<string, Session> {
    return this.#table;
  }

  /** States that were shipped and are kept a while. */
  get keptPulls(): number {
    return this.#shipped.size;
  }

  /** Sessions with a connection. */
  get connections(): number {
    let connections = 0;
    for (const session of this.#table.values()) if (session.connection !== undefined) connections += 1;
    return connections;
  }

  /** A session that this node may serve: none without the lease. */
  find(id: string): Session | undefined {
    return this.#lease.isHeld ? this.#table.get(id) : undefined;
  }

  /**
   * Makes this node the session's owner, or says when to retry. It retries by itself as long as that is within
   * `patience` milliseconds.
   */
  async claim(id: string, patience = 0): Promise<Claimed> {
    const { clock } = this.#node.parts;
    const end = clock.now() + patience;
    for (;;) {
      const claimed = await this.#claimOnce(id);
      if ("session" in claimed) return claimed;
      const pauseMs = claimed.isStoreUnavailable === true ? Sessions.storeRetryMs : claimed.retryAfterSeconds * 1000;
      if (clock.now() + pauseMs > end) return claimed;
      await new Promise<void>((resolve) => void clock.once(pauseMs, resolve));
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
    // Step 2, owner key: granted at once where nobody owns the session.
    const first = await this.#claimKey({ session: id, lease, revision: 0, isConfirmed: false });
    if (first.outcome === "granted") {
      const completeAt = this.#ownerEnds.completeAt(first.ownersEndedAt);
      return this.#own(id, lease, first, { completeAt });
    }
    if (first.outcome !== "owned") return Sessions.#notGranted(first.outcome);
    const { owner } = first;
    // Steps 3 and 4, stop and ship, at the old owner.
    const shipped = owner.node === "" ? undefined : await this.#pull(id, owner, lease);
    if (shipped === "freed" || (shipped !== undefined && "retryAfterSeconds" in shipped)) return shipped;
    // Step 5, overwrite: after the transfer, so that two nodes never both hold the session's state as owner.
    const second = await this.#claimKey({ session: id, lease, revision: owner.revision, isConfirmed: true });
    if (second.outcome === "owned") return { retryAfterSeconds: 0.1, reason: "another resume of this session won" };
    if (second.outcome !== "granted") return Sessions.#notGranted(second.outcome);
    return this.#own(id, lease, second, { completeAt: this.#completeAt(shipped?.state), shipped: shipped?.state });
  }

  /** A claim with an unknown outcome: the key says whether it was granted. */
  async #claimKey(claim: OwnerClaim): Promise<ClaimAnswer> {
    const answer = await this.#steps.measure("claim", () => this.#claims.claim(claim));
    if (answer.outcome !== "unsure") return answer;
    const { session } = claim;
    const read = await readOwner(this.#node.store, session, [SubscriptionKey.prefix(session)]);
    const owner = read?.owner;
    const isOwn = owner?.node === this.#node.rpc.name && owner.lease === claim.lease;
    if (!isOwn || owner.revision === claim.revision) return answer;
    return { outcome: "granted", revision: owner.revision, ownersEndedAt: read!.ownersEndedAt, kvs: read!.kvs };
  }

  static #notGranted(outcome: "free" | "lost" | "unsure" | "away"): NotClaimed | "freed" {
    if (outcome === "free") return "freed";
    if (outcome === "lost") return { retryAfterSeconds: 0.3, reason: "the owner key could not be written" };
    return { retryAfterSeconds: 1, reason: "the store does not answer", isStoreUnavailable: true };
  }

  /** The owner key is written: the session is this node's, unless its lease was lost meanwhile. */
  #own(id: string, lease: string, granted: Granted, state: SessionState): Claimed {
    if (!this.#lease.isHeld || this.#lease.lease !== lease)
      return { retryAfterSeconds: 1, reason: "this node lost its lease" };
    this.emit("step", "owner-written", id);
    const session = new Session(id, granted.revision, state.completeAt);
    this.#fill(session, granted.kvs, state.shipped);
    this.#table.set(id, session);
    return { session };
  }

  /**
   * From when on the publish numbers of a session that had an owner are known completely: at once where that shipped
   * them all.
   */
  #completeAt(shipped: PullReply | undefined): number {
    if (shipped !== undefined && !shipped.isLost) return 0;
    const { clock, settings } = this.#node.parts;
    return clock.now() + settings.redeliveryMs;
  }

  /** Gives a session up, its cursors kept in the store, so that any node may own it at once. */
  async release(session: Session): Promise<void> {
    this.#prepare(session);
    const key = OwnerKey.of(session.id);
    const lease = SubscriptionKey.leaseOf(session.id);
    const puts = [...session.allCursors()].map(([topic, cursor]) => ({
      key: SubscriptionKey.of(session.id, topic),
      value: SubscriptionKey.write(cursor),
      lease,
    }));
    // Its numbers are shipped to nobody: whoever owns the session next must not take them for known.
    const ended = { key: EndedOwnersKey.name, value: EndedOwnersKey.write(this.#lease.lease) };
    const checks = [{ key, revision: session.epoch }];
    const released = await this.#node.store.txn({ checks, puts: [...puts, ended], deletes: [key] });
    if (released.outcome === "lost") await this.#node.store.txn({ checks, puts: [ended], deletes: [key] });
  }

  /** Closes every connection; the sessions can be taken over until they are released. */
  disconnectAll(reason: string, retryAfterSeconds: () => number, addressFor: (session: string) => string): void {
    for (const session of this.#table.values())
      session.disconnect(reason, retryAfterSeconds(), this.#node.parts.clock.now(), addressFor(session.id));
  }

  async #pull(
    id: string,
    owner: Owner,
    lease: string,
  ): Promise<{ state: PullReply } | NotClaimed | "freed" | undefined> {
    if (owner.node === this.#node.rpc.name && owner.lease !== lease) {
      // This very process, or one before it at the same address, held that lease and is gone from it.
      if (await this.#revokeEarlier(owner.lease)) return "freed";
      return { retryAfterSeconds: 0.1, reason: "an earlier lease of this node could not be given up yet" };
    }
    if (owner.node === this.#node.rpc.name) return undefined;
    this.emit("step", "pull", id);
    const reply = await this.#steps.measure("pull", () => this.#ask(id, owner));
    if (reply?.case !== "pullReply") return this.#unanswered(id, owner);
    if (reply.value.outcome !== "shipped")
      return {
        retryAfterSeconds: reply.value.retryAfterSeconds || 0.3,
        reason: `the owner ${owner.node} says ${reply.value.outcome}`,
      };
    this.emit("step", "shipped", id);
    return { state: reply.value };
  }

  /** Revokes an earlier lease of this node, once for all sessions found under it; false: the outcome is open. */
  #revokeEarlier(lease: string): Promise<boolean> {
    const revoked =
      this.#revoking.get(lease) ??
      this.#node.store.call({ case: "revoke", value: { lease } }).then(({ outcome }) => {
        this.#revoking.delete(lease);
        return outcome === "done" || outcome === "lost";
      });
    this.#revoking.set(lease, revoked);
    return revoked;
  }

  /** Asks the owner for the session; an unresponsive one is not asked, only waited for where its lease ends soon. */
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

  /** The owner did not answer: the store says whether its key has changed meanwhile, or how long its lease has left. */
  async #unanswered(id: string, owner: Owner): Promise<"freed" | NotClaimed> {
    const now = await readOwner(this.#node.store, id);
    if (now !== undefined && now.owner?.revision !== owner.revision) return "freed";
    const leaseLeft = now?.owner?.leaseLeft ?? owner.leaseLeft;
    const retryAfterSeconds = (leaseLeft + Sessions.expiryMs) / 1000;
    return { retryAfterSeconds, reason: `the owner ${owner.node} does not answer; its lease must run out first` };
  }

  /** The old owner's part of a takeover, steps 3 and 4. */
  #ship(pull: Pull): BodyInit {
    const session = this.#table.get(pull.session);
    const again = this.#shipped.get(`${pull.session}@${pull.ownerRevision}`);
    if (session === undefined || session.epoch !== pull.ownerRevision) return again?.body ?? this.#shipNothing(pull);
    session.disconnect("taken over", 0, this.#node.parts.clock.now());
    this.emit("step", "stopped", pull.session);
    return this.#prepare(session);
  }

  /** Step 4, ship: the state leaves the table, and is kept a while for a repeated request. */
  #prepare(session: Session): BodyInit {
    session.isStopped = true;
    this.#table.delete(session.id);
    const subscriptions = [...session.allCursors()].map(([topic, { incarnation, seq }]) => ({
      topic,
      incarnation,
      cursor: seq,
    }));
    const numbers = session.numbers.records();
    const isLost = !session.isComplete(this.#node.parts.clock.now());
    const body: BodyInit = { case: "pullReply", value: { outcome: "shipped", subscriptions, numbers, isLost } };
    this.#shipped.set(`${session.id}@${session.epoch}`, { body, at: this.#node.parts.clock.now() });
    return body;
  }

  /**
   * The key names this node, which does not have the session: it lost it with a lease, never got it, or shipped it to
   * a node that never wrote the key, longer ago than shipped states are kept.
   */
  #shipNothing(pull: Pull): BodyInit {
    const owner = this.#table.get(pull.session);
    if (owner !== undefined || this.#claiming.has(pull.session))
      return { case: "pullReply", value: { outcome: "owned under another revision", retryAfterSeconds: 0.3 } };
    return { case: "pullReply", value: { outcome: "shipped", isLost: true } };
  }

  #fill(session: Session, kvs: Kv[], shipped: PullReply | undefined): void {
    for (const kv of kvs) {
      const prefix = SubscriptionKey.prefix(session.id);
      const cursor = kv.key.startsWith(prefix) ? SubscriptionKey.read(kv.value) : undefined;
      if (cursor !== undefined) session.resumeCursors.set(kv.key.slice(prefix.length), cursor);
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
    if (!this.#lease.isHeld) return;
    for (const session of [...this.#table.values()])
      if (session.connection === undefined && now - session.leftAt > Sessions.keepIdleMs) void this.release(session);
  }
}
