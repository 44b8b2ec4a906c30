import { EventEmitter } from "node:events";
import type { Kv, Pull, PullReply } from "@cranetrack/core/gen/cranetrack_pb.js";
import { EndedOwnersKey } from "@cranetrack/core/keys/endedOwnersKey.js";
import { OwnerKey } from "@cranetrack/core/keys/ownerKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { repeatWindowMs } from "@cranetrack/core/runtime/repeatWindow.js";
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
interface ClaimRefusal {
  retryAfterSeconds: number;
  reason: string;
  /** The store does not answer: a connection that waits may retry sooner than a client is told to come back. */
  isStoreUnavailable?: boolean;
}
/** The session, now owned by this node; or why not, and when the claim may be tried again. */
export type ClaimResult = { session: Session } | ClaimRefusal;
type GrantedClaim = Extract<ClaimAnswer, { outcome: "granted" }>;
/** What a new owner knows of the session when it starts. */
interface SessionState {
  /** The time from which all publish numbers are known, in milliseconds of the monotonic clock. */
  readonly numbersCompleteAt: number;
  readonly shipped?: PullReply | undefined;
}
/** A state sent to a new owner, and when, in milliseconds of the monotonic clock. */
interface ShippedState {
  body: BodyInit;
  at: number;
}

/**
 * The sessions that this node owns, and the takeover of a session from another node. The design follows FluxMQ
 * ("Clustering: embedded etcd", sections "Session Ownership" and "Session Takeover"):
 *
 * 1. Lease: each edge holds a lease in the metadata store; its owner keys are deleted when the lease ends
 *    (`LeaseKeepAlive`, `#dropAll`).
 * 2. Owner key: the new node claims `sessions/ID/owner`, batched with other claims (`ClaimQueue`). If the key exists,
 *    the reply names the owner and the key's revision. That may be out of date; it only decides which node is asked in
 *    step 3 and which revision step 5 compares.
 * 3. Stop: the new node asks the old owner by RPC, not through the store (`#pull`). The old owner closes the client's
 *    connection and accepts nothing more for the session (`#ship`).
 * 4. Ship: the old owner replies with publish numbers and cursors (`#detachState`).
 * 5. Overwrite: only then does the new node write the owner key under its own lease, by compare-and-set on the revision
 *    from step 2 (`#claim`). The revision written is the session's epoch, the fencing token of its publishes.
 *
 * An owner that does not answer keeps the key until its lease expires.
 * Invariant: a session is in the table only while this node's present lease is the last one known to have written its
 * owner key.
 */
export class Sessions extends EventEmitter<{ step: [step: string, session: string] }> {
  /** Milliseconds that the old owner has to answer a request for a session. */
  static readonly pullTimeoutMs = 700;
  /** Milliseconds after the end of a lease until every node has learned of it. */
  static readonly expiryNoticeMs = 100;
  /** If the lease of an unresponsive owner ends within this many milliseconds, the claim waits for its end. */
  static readonly maxExpiryWaitMs = 400;
  /** Milliseconds between two claims of a waiting connection while the store does not answer. */
  static readonly storeRetryMs = 100;
  /** Milliseconds that a sent state is kept, in case the reply with it was lost and the new owner asks again. */
  static readonly keepShippedMs = 30_000;
  /** Milliseconds that a session is owned without a connection before it is released. */
  static readonly keepIdleMs = 60_000;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #steps: StepTimes<JoiningStep>;
  readonly #table = new Map<string, Session>();
  readonly #claiming = new Set<string>();
  readonly #claims: ClaimQueue;
  readonly #ownerEnds: OwnerEnds;
  /** Earlier leases of this node that are being revoked, and whether each was. */
  readonly #revoking = new Map<string, Promise<boolean>>();
  /** By session and owner revision, states already sent, for a new owner that asks again as the reply was lost. */
  readonly #shipped = new Map<string, ShippedState>();

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

  /** The sessions owned now, by name. */
  get table(): ReadonlyMap<string, Session> {
    return this.#table;
  }

  /** The number of sent states that are still kept for repeated requests. */
  get shippedStateCount(): number {
    return this.#shipped.size;
  }

  /** The number of sessions with a connection. */
  get connectionCount(): number {
    let connections = 0;
    for (const session of this.#table.values()) if (session.connection !== undefined) connections += 1;
    return connections;
  }

  /** Returns the session if this node owns it; undefined for every session while the node does not hold its lease. */
  find(id: string): Session | undefined {
    return this.#lease.isHeld ? this.#table.get(id) : undefined;
  }

  /**
   * Makes this node the session's owner, or says when to retry. Retries by itself as long as the next attempt begins
   * within `maxWaitMs` milliseconds from now.
   */
  async claim(id: string, maxWaitMs = 0): Promise<ClaimResult> {
    const { clock } = this.#node.parts;
    const deadline = clock.now() + maxWaitMs;
    for (;;) {
      const claimed = await this.#claimOnce(id);
      if ("session" in claimed) return claimed;
      const pauseMs = claimed.isStoreUnavailable === true ? Sessions.storeRetryMs : claimed.retryAfterSeconds * 1000;
      if (clock.now() + pauseMs > deadline) return claimed;
      await new Promise<void>((resolve) => void clock.once(pauseMs, resolve));
    }
  }

  async #claimOnce(id: string): Promise<ClaimResult> {
    const owned = this.find(id);
    if (owned !== undefined) return { session: owned };
    if (this.#claiming.has(id))
      return { retryAfterSeconds: 0.1, reason: "another resume of this session is under way" };
    this.#claiming.add(id);
    let claimed = await this.#claim(id);
    // The old owner's key went away while that owner was being asked, so that the session is free to claim.
    if (claimed === "freed") claimed = await this.#claim(id);
    this.#claiming.delete(id);
    return claimed === "freed" ? { retryAfterSeconds: 0.1, reason: "the session is changing hands" } : claimed;
  }

  async #claim(id: string): Promise<ClaimResult | "freed"> {
    const { lease } = this.#lease;
    if (!this.#lease.isHeld) return { retryAfterSeconds: 1, reason: "this node has no lease" };
    // Step 2, owner key: granted at once if no node owns the session.
    const firstAnswer = await this.#claimKey({ session: id, lease, revision: 0, isConfirmed: false });
    if (firstAnswer.outcome === "granted") {
      const numbersCompleteAt = this.#ownerEnds.numbersCompleteAt(firstAnswer.ownersEndedAt);
      return this.#addOwned(id, lease, firstAnswer, { numbersCompleteAt });
    }
    if (firstAnswer.outcome !== "owned") return Sessions.#refusalOf(firstAnswer.outcome);
    const { owner } = firstAnswer;
    // Steps 3 and 4, stop and ship, at the old owner.
    const shipped = owner.node === "" ? undefined : await this.#pull(id, owner, lease);
    if (shipped === "freed" || (shipped !== undefined && "retryAfterSeconds" in shipped)) return shipped;
    // Step 5, overwrite: after the transfer, so that two nodes never serve the session as owners at the same time.
    const secondAnswer = await this.#claimKey({ session: id, lease, revision: owner.revision, isConfirmed: true });
    if (secondAnswer.outcome === "owned")
      return { retryAfterSeconds: 0.1, reason: "another resume of this session won" };
    if (secondAnswer.outcome !== "granted") return Sessions.#refusalOf(secondAnswer.outcome);
    return this.#addOwned(id, lease, secondAnswer, {
      numbersCompleteAt: this.#numbersCompleteAt(shipped?.state),
      shipped: shipped?.state,
    });
  }

  /** Claims the owner key. If the outcome is unknown, reads the key to find out whether the claim was granted. */
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

  static #refusalOf(outcome: "free" | "lost" | "unsure" | "away"): ClaimRefusal | "freed" {
    if (outcome === "free") return "freed";
    if (outcome === "lost") return { retryAfterSeconds: 0.3, reason: "the owner key could not be written" };
    return { retryAfterSeconds: 1, reason: "the store does not answer", isStoreUnavailable: true };
  }

  /** Adds the session after its owner key was written, unless this node lost its lease in the meantime. */
  #addOwned(id: string, lease: string, granted: GrantedClaim, state: SessionState): ClaimResult {
    if (!this.#lease.isHeld || this.#lease.lease !== lease)
      return { retryAfterSeconds: 1, reason: "this node lost its lease" };
    this.emit("step", "owner-written", id);
    const windowMs = repeatWindowMs(this.#node.parts.settings);
    const session = new Session(id, granted.revision, windowMs, state.numbersCompleteAt);
    this.#restoreState(session, granted.kvs, state.shipped);
    this.#table.set(id, session);
    return { session };
  }

  /**
   * The time from which all publish numbers of a session are known that had an owner: at once if that owner sent them
   * all, otherwise after the redelivery time.
   */
  #numbersCompleteAt(shipped: PullReply | undefined): number {
    if (shipped !== undefined && !shipped.isLost) return 0;
    const { clock, settings } = this.#node.parts;
    return clock.now() + settings.redeliveryMs;
  }

  /** Gives up ownership and writes the cursors to the store, so that any node can claim the session at once. */
  async release(session: Session): Promise<void> {
    this.#detachState(session);
    const key = OwnerKey.of(session.id);
    const lease = SubscriptionKey.leaseOf(session.id);
    const puts = [...session.allCursors()].map(([topic, cursor]) => ({
      key: SubscriptionKey.of(session.id, topic),
      value: SubscriptionKey.write(cursor),
      lease,
    }));
    // No node receives the publish numbers: the next owner must not assume that it knows them all.
    const endedOwners = { key: EndedOwnersKey.name, value: EndedOwnersKey.write(this.#lease.lease) };
    const checks = [{ key, revision: session.epoch }];
    const released = await this.#node.store.txn({ checks, puts: [...puts, endedOwners], deletes: [key] });
    if (released.outcome === "lost") await this.#node.store.txn({ checks, puts: [endedOwners], deletes: [key] });
  }

  /** Closes every connection. The sessions stay owned, for takeover by other nodes, until they are released. */
  disconnectAll(reason: string, retryAfterSeconds: () => number, addressFor: (session: string) => string): void {
    for (const session of this.#table.values())
      session.disconnect(reason, retryAfterSeconds(), this.#node.parts.clock.now(), addressFor(session.id));
  }

  /** Fetches the session's state from its owner; undefined if this node's present lease already owns the key. */
  async #pull(
    id: string,
    owner: Owner,
    lease: string,
  ): Promise<{ state: PullReply } | ClaimRefusal | "freed" | undefined> {
    if (owner.node === this.#node.rpc.name && owner.lease !== lease) {
      // This process, or an earlier one with the same name, held that lease and no longer uses it.
      if (await this.#revokeEarlierLease(owner.lease)) return "freed";
      return { retryAfterSeconds: 0.1, reason: "an earlier lease of this node could not be given up yet" };
    }
    if (owner.node === this.#node.rpc.name) return undefined;
    this.emit("step", "pull", id);
    const reply = await this.#steps.measure("pull", () => this.#requestState(id, owner));
    if (reply?.case !== "pullReply") return this.#onOwnerSilent(id, owner);
    if (reply.value.outcome !== "shipped")
      return {
        retryAfterSeconds: reply.value.retryAfterSeconds || 0.3,
        reason: `the owner ${owner.node} says ${reply.value.outcome}`,
      };
    this.emit("step", "shipped", id);
    return { state: reply.value };
  }

  /** Revokes an earlier lease of this node, once for all sessions under it; false if the outcome is unknown. */
  #revokeEarlierLease(lease: string): Promise<boolean> {
    const revoked =
      this.#revoking.get(lease) ??
      this.#node.store.call({ case: "revoke", value: { lease } }).then(({ outcome }) => {
        this.#revoking.delete(lease);
        return outcome === "done" || outcome === "lost";
      });
    this.#revoking.set(lease, revoked);
    return revoked;
  }

  /** Requests the state from the owner. An unresponsive owner is not asked; if its lease ends soon, waits for that. */
  async #requestState(id: string, owner: Owner): Promise<Body | undefined> {
    const { rpc, parts } = this.#node;
    if (!rpc.isUnresponsive(owner.node)) {
      const request = { session: id, ownerRevision: owner.revision, asker: rpc.name };
      return rpc.call(owner.node, { case: "pull", value: request }, Sessions.pullTimeoutMs);
    }
    const remainingMs = owner.leaseLeft + Sessions.expiryNoticeMs;
    if (remainingMs <= Sessions.maxExpiryWaitMs)
      await new Promise<void>((resolve) => void parts.clock.once(remainingMs, resolve));
    return undefined;
  }

  /** Reads from the store whether the key of an owner that did not answer has changed, or when its lease ends. */
  async #onOwnerSilent(id: string, owner: Owner): Promise<"freed" | ClaimRefusal> {
    const read = await readOwner(this.#node.store, id);
    if (read !== undefined && read.owner?.revision !== owner.revision) return "freed";
    const leaseLeft = read?.owner?.leaseLeft ?? owner.leaseLeft;
    const retryAfterSeconds = (leaseLeft + Sessions.expiryNoticeMs) / 1000;
    return { retryAfterSeconds, reason: `the owner ${owner.node} does not answer; its lease must run out first` };
  }

  /** Serves a request for a session's state: steps 3 and 4 at the old owner. */
  #ship(pull: Pull): BodyInit {
    const session = this.#table.get(pull.session);
    const earlierReply = this.#shipped.get(`${pull.session}@${pull.ownerRevision}`);
    if (session === undefined || session.epoch !== pull.ownerRevision)
      return earlierReply?.body ?? this.#replyWithoutState(pull);
    session.disconnect("taken over", 0, this.#node.parts.clock.now());
    this.emit("step", "stopped", pull.session);
    return this.#detachState(session);
  }

  /** Step 4, ship: removes the session from the table and keeps its state for a while, for a repeated request. */
  #detachState(session: Session): BodyInit {
    session.isStopped = true;
    this.#table.delete(session.id);
    const subscriptions = [...session.allCursors()].map(([topic, { incarnation, seq }]) => ({
      topic,
      incarnation,
      cursor: seq,
    }));
    const numbers = session.numbers.records();
    const isLost = !session.knowsAllNumbers(this.#node.parts.clock.now());
    const body: BodyInit = { case: "pullReply", value: { outcome: "shipped", subscriptions, numbers, isLost } };
    this.#shipped.set(`${session.id}@${session.epoch}`, { body, at: this.#node.parts.clock.now() });
    return body;
  }

  /**
   * Replies if the owner key names this node, but the session is not here at that revision: the node lost it with a
   * lease, never learned that its claim was granted, or sent the state to a node that did not write the key, and no
   * longer keeps that state.
   */
  #replyWithoutState(pull: Pull): BodyInit {
    const owned = this.#table.get(pull.session);
    if (owned !== undefined || this.#claiming.has(pull.session))
      return { case: "pullReply", value: { outcome: "owned under another revision", retryAfterSeconds: 0.3 } };
    return { case: "pullReply", value: { outcome: "shipped", isLost: true } };
  }

  /** Sets the session's cursors and numbers from the store's keys and from the state that the old owner sent. */
  #restoreState(session: Session, kvs: Kv[], shipped: PullReply | undefined): void {
    for (const kv of kvs) {
      const prefix = SubscriptionKey.prefix(session.id);
      const cursor = kv.key.startsWith(prefix) ? SubscriptionKey.read(kv.value) : undefined;
      if (cursor !== undefined) session.resumeCursors.set(kv.key.slice(prefix.length), cursor);
    }
    for (const { topic, incarnation, cursor } of shipped?.subscriptions ?? [])
      session.resumeCursors.set(topic, { incarnation, seq: cursor });
    session.numbers.restore(shipped?.numbers ?? []);
  }

  /** Stops all sessions once the lease is lost. */
  #dropAll(): void {
    for (const session of [...this.#table.values()]) {
      session.isStopped = true;
      session.disconnect("this node lost its lease", 0.2, this.#node.parts.clock.now());
    }
    this.#table.clear();
  }

  /** Drops old sent states, and releases sessions that had no connection for `keepIdleMs`. */
  #expireIdle(): void {
    const now = this.#node.parts.clock.now();
    for (const [id, { at }] of this.#shipped) if (now - at > Sessions.keepShippedMs) this.#shipped.delete(id);
    if (!this.#lease.isHeld) return;
    for (const session of [...this.#table.values()])
      if (session.connection === undefined && now - session.disconnectedAt > Sessions.keepIdleMs)
        void this.release(session);
  }
}
