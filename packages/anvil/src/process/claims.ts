import { Rendezvous } from "@cranetrack/chest/process/rendezvous.js";
import type { ClusterNode } from "@cranetrack/chest/process/clusterNode.js";
import type { LeaseKeeper } from "@cranetrack/chest/process/leaseKeeper.js";
import { Bench } from "./bench.js";
import { Holder } from "./holder.js";
import type { Replica } from "./replica.js";

interface Claim { holder: Holder; bench: Bench }

/**
 * Claims free shards for this disk, in rendezvous order, by compare-and-set; nobody assigns them.
 * Invariant: a holder here acts only while the lease that its key is under is held.
 */
export class Claims {
  static readonly turnMs = 250;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeeper;
  readonly #replicas: readonly Replica[];
  readonly #id: string;
  readonly #claims = new Map<number, Claim>();
  readonly #freeSince = new Map<number, number>();
  readonly #busy = new Set<number>();
  isEmptying = false;

  constructor(node: ClusterNode, lease: LeaseKeeper, replicas: readonly Replica[], id: string) {
    this.#node = node;
    this.#lease = lease;
    this.#replicas = replicas;
    this.#id = id;
    lease.on("lost", () => {
      for (const claim of [...this.#claims.values()]) claim.holder.stop("the lease was lost");
    });
    node.plan.on("changed", () => {
      for (const claim of this.#claims.values()) if (claim.holder.isServing) claim.bench.planChanged();
    });
    node.shards.on("changed", (shard) => this.#heed(shard));
    node.parts.clock.every(100, () => this.#beat());
  }

  find(shard: number): Claim | undefined {
    return this.#claims.get(shard);
  }

  all(): Array<[number, Claim]> {
    return [...this.#claims];
  }

  /** Gives every shard back, so that others claim them at once. */
  async releaseAll(): Promise<void> {
    await Promise.all([...this.#claims.keys()].map((shard) => this.release(shard, "the process is stopping")));
  }

  async release(shard: number, why: string): Promise<void> {
    this.#claims.get(shard)?.holder.stop(why);
  }

  #beat(): void {
    if (!this.#lease.isHeld) return;
    for (const claim of [...this.#claims.values()]) {
      claim.holder.beat();
      if (claim.holder.isServing) claim.bench.beat();
    }
    if (!this.#node.feed.isFresh) return;
    for (const replica of this.#replicas) this.#consider(replica);
  }

  #consider(replica: Replica): void {
    const { shard } = replica;
    const route = this.#node.shards.find(shard);
    const isOwnKey = route.holderId === this.#id && this.#claims.get(shard)?.holder.epoch !== route.epoch;
    if (this.#busy.has(shard)) return;
    if (isOwnKey) return void this.#guard(shard, () => this.#giveBack(shard, route.epoch));
    const rank = this.#rank(shard);
    if (route.holder !== "" || rank === -1 || this.isEmptying) return void this.#freeSince.delete(shard);
    const now = this.#node.parts.clock.now();
    const since = this.#freeSince.get(shard) ?? now;
    this.#freeSince.set(shard, since);
    if (now - since >= rank * Claims.turnMs) void this.#guard(shard, () => this.#claim(replica));
  }

  /** This disk's turn among the set's live members; -1 where it is no member. */
  #rank(shard: number): number {
    const members = this.#node.shards.find(shard).set?.members ?? [];
    const alive = members.filter((member) => member.id === this.#id || this.#node.membership.isAlive(member.name)).map((member) => member.id);
    return Rendezvous.rank(`holder ${shard}`, alive).indexOf(this.#id);
  }

  async #guard(shard: number, act: () => Promise<void>): Promise<void> {
    this.#busy.add(shard);
    await act();
    this.#busy.delete(shard);
  }

  async #claim(replica: Replica): Promise<void> {
    const { shard } = replica;
    const { set, setRevision } = this.#node.shards.find(shard);
    const lease = this.#lease.lease;
    if (set === undefined) return;
    const key = `shards/${shard}/holder`;
    const value = Buffer.from(JSON.stringify({ name: this.#node.exchange.name, id: this.#id, lease }));
    const receipt = await this.#node.store.txn({ checks: [{ key, revision: 0 }, { key: `shards/${shard}/replicas`, revision: setRevision }], puts: [{ key, value, lease }] });
    if (receipt.outcome !== "done" || this.#lease.lease !== lease) return;
    const holder = new Holder(replica, set, receipt.revision!, this.#node);
    const claim: Claim = { holder, bench: new Bench(this.#node, replica, holder, () => this.#lease.isHeld && this.#lease.lease === lease) };
    this.#claims.set(shard, claim);
    holder.on("over", (why) => void this.#over(shard, claim, why));
    holder.on("serving", () => claim.bench.planChanged());
    if (!(await holder.takeOver())) holder.stop("no majority of the replicas pledged");
  }

  async #over(shard: number, claim: Claim, why: string): Promise<void> {
    if (this.#claims.get(shard) === claim) this.#claims.delete(shard);
    this.#node.parts.log.note("gave up a shard", { shard, epoch: claim.holder.epoch, why });
    this.#freeSince.set(shard, this.#node.parts.clock.now() + 500);
    await this.#giveBack(shard, claim.holder.epoch);
  }

  async #giveBack(shard: number, epoch: number): Promise<void> {
    const key = `shards/${shard}/holder`;
    await this.#node.store.txn({ checks: [{ key, revision: epoch }], deletes: [key] });
  }

  /** The store names another holder: whatever this one thinks, it is over. */
  #heed(shard: number): void {
    const claim = this.#claims.get(shard);
    const route = this.#node.shards.find(shard);
    if (claim !== undefined && route.epoch > claim.holder.epoch) claim.holder.stop("the store names another holder");
  }
}
