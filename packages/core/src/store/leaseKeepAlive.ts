import { EventEmitter } from "node:events";
import type { RandomSource } from "../runtime/random.js";
import type { TimerHandle, Clock } from "../runtime/clock.js";
import type { StoreCallInit, StoreClient } from "./storeClient.js";

/**
 * Holds one lease with the store. The holder counts the lease from when it SENT the renewal, and stops a tenth of the
 * length early, so that it stops before the store can expire the lease.
 */
export class LeaseKeepAlive extends EventEmitter<{ held: [lease: string]; lost: [lease: string] }> {
  /** Delay before a failed grant or renewal is retried. */
  static readonly retryMs = 60;
  /** Renewals within a lease's length: three may go unanswered, and the fourth still arrives before the end. */
  static readonly renewalsPerLease = 4;

  readonly #store: Pick<StoreClient, "call">;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #name: string;
  readonly #leaseMs: number;
  /** Invariant: claims made under `lease` are valid only while now() < #heldUntil. */
  #heldUntil = -Infinity;
  #isEnded = false;
  #isRequestPending = false;
  #expiryTimer: TimerHandle | undefined;
  #retryTimer: TimerHandle | undefined;
  lease = "";
  /** Leases lost since the start, for any reason. */
  losses = 0;

  constructor(name: string, leaseMs: number, store: Pick<StoreClient, "call">, clock: Clock, random: RandomSource) {
    super();
    this.setMaxListeners(0);
    this.#name = name;
    this.#leaseMs = leaseMs;
    this.#store = store;
    this.#clock = clock;
    this.#random = random;
  }

  /** Whether the lease is held now; the first check after its end emits `lost`. */
  get isHeld(): boolean {
    if (this.lease !== "" && this.#clock.now() >= this.#heldUntil) this.#lose();
    return this.lease !== "";
  }

  /** Requests a lease and renews it from now on. To be called once. */
  start(): void {
    void this.#renew();
    this.#clock.every(this.#leaseMs / LeaseKeepAlive.renewalsPerLease, () => void this.#renew());
  }

  /** Gives the lease up for good and revokes it in the store, so that other nodes need not wait for its end. */
  async end(): Promise<void> {
    this.#isEnded = true;
    this.#retryTimer?.stop();
    const lease = this.lease;
    if (lease === "") return;
    this.#lose();
    await this.#store.call({ case: "revoke", value: { lease } }, 700);
  }

  /** Renewals may overlap, so that a slow store does not cost the lease; each counts from when it was sent. */
  async #renew(): Promise<void> {
    const isGrant = !this.isHeld;
    if (this.#isEnded || (isGrant && this.#isRequestPending)) return;
    this.#isRequestPending = true;
    const sentAt = this.#clock.now();
    const lease = isGrant ? `${this.#name}/${this.#random.identity().slice(0, 12)}` : this.lease;
    const call: StoreCallInit = isGrant
      ? { case: "grant", value: { lease, length: this.#leaseMs } }
      : { case: "renew", value: { lease } };
    const reply = await this.#store.call(call, Math.max(300, this.#leaseMs * 0.6));
    this.#isRequestPending = false;
    if (this.#isEnded || (!isGrant && this.lease !== lease)) return;
    if (reply.outcome === "lost") return this.#lose();
    if (reply.outcome !== "done") return this.#scheduleRetry();
    if (!isGrant && !this.isHeld) return;
    this.lease = lease;
    this.#heldUntil = Math.max(this.#heldUntil, sentAt + this.#leaseMs * 0.9);
    this.#scheduleExpiry();
    if (isGrant) this.emit("held", lease);
  }

  /** Retries soon: an election may be under way, and the lease is needed as soon as it ends. */
  #scheduleRetry(): void {
    this.#retryTimer?.stop();
    this.#retryTimer = this.#clock.once(LeaseKeepAlive.retryMs, () => void this.#renew());
  }

  #scheduleExpiry(): void {
    this.#expiryTimer?.stop();
    this.#expiryTimer = this.#clock.once(Math.max(1, this.#heldUntil - this.#clock.now() + 1), () => void this.isHeld);
  }

  #lose(): void {
    const lease = this.lease;
    if (lease === "") return;
    this.lease = "";
    this.losses += 1;
    this.#heldUntil = -Infinity;
    this.#expiryTimer?.stop();
    this.emit("lost", lease);
    // Unanswered renewals may have reached the store. Revoking spares other nodes the wait for the lease to expire.
    if (!this.#isEnded) void this.#store.call({ case: "revoke", value: { lease } });
  }
}
