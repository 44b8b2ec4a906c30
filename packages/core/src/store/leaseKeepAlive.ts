import { EventEmitter } from "node:events";
import type { RandomSource } from "../runtime/random.js";
import type { TimerHandle, Clock } from "../runtime/clock.js";
import type { StoreChange, StoreClient } from "./storeClient.js";

/**
 * Holds one lease with the store. The leader counts from when it SENT the renewal, and stops a
 * tenth early, so that it stops before the store can expire it.
 */
export class LeaseKeepAlive extends EventEmitter<{ held: [lease: string]; lost: [lease: string] }> {
  static readonly againMs = 60;
  /** Renewals sent in a lease's length: three may go unanswered, and the fourth still comes before the end. */
  static readonly renewals = 4;

  readonly #store: Pick<StoreClient, "call">;
  readonly #clock: Clock;
  readonly #random: RandomSource;
  readonly #name: string;
  readonly #length: number;
  /** Invariant: claims made under `lease` hold only while now() < #until. */
  #until = -Infinity;
  #isEnded = false;
  #isAsking = false;
  #edge: TimerHandle | undefined;
  #retry: TimerHandle | undefined;
  lease = "";
  /** Leases lost since the start, however it came. */
  losses = 0;

  constructor(name: string, length: number, store: Pick<StoreClient, "call">, clock: Clock, random: RandomSource) {
    super();
    this.setMaxListeners(0);
    this.#name = name;
    this.#length = length;
    this.#store = store;
    this.#clock = clock;
    this.#random = random;
  }

  get isHeld(): boolean {
    if (this.lease !== "" && this.#clock.now() >= this.#until) this.#lose();
    return this.lease !== "";
  }

  start(): void {
    void this.#renew();
    this.#clock.every(this.#length / LeaseKeepAlive.renewals, () => void this.#renew());
  }

  async end(): Promise<void> {
    this.#isEnded = true;
    this.#retry?.stop();
    const lease = this.lease;
    if (lease === "") return;
    this.#lose();
    await this.#store.call({ case: "revoke", value: { lease } }, 700);
  }

  /** Renewals may overlap, for a slow store must not cost the lease; each counts from when it was sent. */
  async #renew(): Promise<void> {
    const isNew = !this.isHeld;
    if (this.#isEnded || (isNew && this.#isAsking)) return;
    this.#isAsking = true;
    const sentAt = this.#clock.now();
    const lease = isNew ? `${this.#name}/${this.#random.identity().slice(0, 12)}` : this.lease;
    const call: StoreChange = isNew
      ? { case: "grant", value: { lease, length: this.#length } }
      : { case: "renew", value: { lease } };
    const reply = await this.#store.call(call, Math.max(300, this.#length * 0.6));
    this.#isAsking = false;
    if (this.#isEnded || (!isNew && this.lease !== lease)) return;
    if (reply.outcome === "lost") return this.#lose();
    if (reply.outcome !== "done") return this.#again();
    if (!isNew && !this.isHeld) return;
    this.lease = lease;
    this.#until = Math.max(this.#until, sentAt + this.#length * 0.9);
    this.#watch();
    if (isNew) this.emit("held", lease);
  }

  /** An election may be under way: its end must not be missed by a beat. */
  #again(): void {
    this.#retry?.stop();
    this.#retry = this.#clock.once(LeaseKeepAlive.againMs, () => void this.#renew());
  }

  #watch(): void {
    this.#edge?.stop();
    this.#edge = this.#clock.once(Math.max(1, this.#until - this.#clock.now() + 1), () => void this.isHeld);
  }

  #lose(): void {
    const lease = this.lease;
    if (lease === "") return;
    this.lease = "";
    this.losses += 1;
    this.#until = -Infinity;
    this.#edge?.stop();
    this.emit("lost", lease);
    // Renewals may have reached the store though no answer came back; nobody needs to wait for them to run out.
    if (!this.#isEnded) void this.#store.call({ case: "revoke", value: { lease } });
  }
}
