import { EventEmitter } from "node:events";
import type { Chance } from "./chance.js";
import type { Beat, Clock } from "./clock.js";
import type { StoreClient } from "./storeClient.js";

/**
 * Holds one lease with the store. The holder counts from when it SENT the renewal, and stops a
 * tenth early, so that it stops before the store can expire it.
 */
export class LeaseKeeper extends EventEmitter<{ held: [lease: string]; lost: [lease: string] }> {
  readonly #store: Pick<StoreClient, "call">;
  readonly #clock: Clock;
  readonly #chance: Chance;
  readonly #name: string;
  readonly #length: number;
  /** Invariant: claims made under `lease` hold only while now() < #until. */
  #until = -Infinity;
  #isEnded = false;
  #isAsking = false;
  #edge: Beat | undefined;
  lease = "";
  /** Leases lost since the start, however it came. */
  losses = 0;

  constructor(name: string, length: number, store: Pick<StoreClient, "call">, clock: Clock, chance: Chance) {
    super();
    this.setMaxListeners(0);
    this.#name = name;
    this.#length = length;
    this.#store = store;
    this.#clock = clock;
    this.#chance = chance;
  }

  get isHeld(): boolean {
    if (this.lease !== "" && this.#clock.now() >= this.#until) this.#lose();
    return this.lease !== "";
  }

  start(): void {
    void this.#renew();
    this.#clock.every(this.#length / 4, () => void this.#renew());
  }

  async end(): Promise<void> {
    this.#isEnded = true;
    const lease = this.lease;
    if (lease === "") return;
    this.#lose();
    await this.#store.call({ case: "revoke", value: { lease } }, 700);
  }

  async #renew(): Promise<void> {
    if (this.#isEnded || this.#isAsking) return;
    this.#isAsking = true;
    const sentAt = this.#clock.now();
    const isNew = !this.isHeld;
    const lease = isNew ? `${this.#name}/${this.#chance.identity().slice(0, 12)}` : this.lease;
    const due = Math.max(300, Math.min(1000, this.#length / 3));
    const receipt = await this.#store.call(
      isNew ? { case: "grant", value: { lease, length: this.#length } } : { case: "renew", value: { lease } },
      due,
    );
    this.#isAsking = false;
    if (this.#isEnded) return;
    if (receipt.outcome === "lost") return this.#lose();
    if (receipt.outcome !== "done" || (!isNew && !this.isHeld)) return;
    this.lease = lease;
    this.#until = sentAt + this.#length * 0.9;
    this.#watch();
    if (isNew) this.emit("held", lease);
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
  }
}
