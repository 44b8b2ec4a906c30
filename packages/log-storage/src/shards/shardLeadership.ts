import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import { ShardService } from "./shardService.js";
import { ShardLeader } from "./shardLeader.js";
import { RecentJoins } from "../repair/newcomers.js";
import { ReplicaRepair } from "../repair/replicaRepair.js";
import { CommitNotices } from "../replication/commitNotices.js";
import type { PushBatcher } from "../follows/pushTurn.js";
import type { Replica } from "../replication/replica.js";

interface LedShard {
  replica: Replica;
  lease: string;
  leader: ShardLeader;
  service: ShardService;
  repair: ReplicaRepair;
}

/**
 * Claims free shards for this disk, in rendezvous order, by compare-and-set; nobody assigns them.
 * Invariant: a leader here acts only while the lease that its key is under is held.
 */
export class ShardLeadership {
  static readonly electionDelayMs = 100;
  /** How often each held shard's replica set is looked at, and a change of it taken one step further. */
  static readonly repairIntervalMs = 100;
  /** Changes that only make sets better, at a time, so that copying does not starve what is served. */
  static readonly maxImprovements = 4;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #replicas: readonly Replica[];
  readonly #diskId: string;
  readonly #led = new Map<number, LedShard>();
  readonly #freeSince = new Map<number, number>();
  readonly #inTransition = new Set<number>();
  /** Shards whose set is being swapped: their key's new epoch may be heard of before the swap's own reply. */
  readonly #changingReplicas = new Set<number>();
  readonly #pushBatcher: PushBatcher;
  readonly #commits: CommitNotices;
  readonly #recentJoins: RecentJoins;
  isDraining = false;

  constructor(
    node: ClusterNode,
    lease: LeaseKeepAlive,
    replicas: readonly Replica[],
    diskId: string,
    pushBatcher: PushBatcher,
  ) {
    this.#node = node;
    this.#lease = lease;
    this.#replicas = replicas;
    this.#diskId = diskId;
    this.#pushBatcher = pushBatcher;
    this.#commits = new CommitNotices(node);
    this.#recentJoins = new RecentJoins(node.membership, node.parts.clock);
    lease.on("lost", () => {
      for (const led of [...this.#led.values()]) led.leader.stop("the lease was lost");
    });
    node.configuration.on("changed", () => {
      for (const led of this.#led.values()) if (led.leader.isServing) led.service.configurationChanged();
    });
    node.shards.on("changed", (shard) => this.#onRouteChanged(shard));
    node.parts.clock.every(100, () => this.#tick());
    node.parts.clock.every(ShardLeadership.repairIntervalMs, () => this.#repairAll());
  }

  find(shard: number): LedShard | undefined {
    return this.#led.get(shard);
  }

  all(): Array<[number, LedShard]> {
    return [...this.#led];
  }

  /** Gives every shard back, so that others claim them at once. */
  async releaseAll(): Promise<void> {
    await Promise.all([...this.#led.keys()].map((shard) => this.release(shard, "the process is stopping")));
  }

  async release(shard: number, why: string): Promise<void> {
    this.#led.get(shard)?.leader.stop(why);
  }

  #tick(): void {
    if (!this.#lease.isHeld) return;
    for (const led of [...this.#led.values()]) {
      led.leader.tick();
      if (led.leader.isServing) led.service.tick();
    }
    if (!this.#node.feed.isFresh) return;
    for (const replica of this.#replicas) this.#reconcileLeader(replica);
  }

  /** What was lost is repaired for all held shards at once; what is only better goes few at a time. */
  #repairAll(): void {
    let improving = this.all().filter(([, { repair }]) => repair.isImproving).length;
    for (const [shard, led] of this.all()) {
      if (this.#changingReplicas.has(shard)) continue;
      const wasImproving = led.repair.isImproving;
      void this.#repair(shard, led, improving >= ShardLeadership.maxImprovements);
      if (!wasImproving && led.repair.isImproving) improving += 1;
    }
  }

  async #repair(shard: number, led: LedShard, isUrgentOnly: boolean): Promise<void> {
    this.#changingReplicas.add(shard);
    const swap = await led.repair.tick(isUrgentOnly);
    this.#changingReplicas.delete(shard);
    if (swap === undefined) return this.#onRouteChanged(shard);
    if (this.#led.get(shard) === led) this.#led.delete(shard);
    led.leader.stop("the replica set was swapped");
    if (swap.epoch > 0)
      void this.#inOneTransition(shard, () => this.#lead(led.replica, swap.set, swap.epoch, led.lease));
  }

  #reconcileLeader(replica: Replica): void {
    const { shard } = replica;
    const route = this.#node.shards.find(shard);
    // A leader of this name that is not this process was one before it: nobody needs to wait for its lease.
    const isStaleOwnKey = route.leader === this.#node.rpc.name && this.#led.get(shard)?.leader.epoch !== route.epoch;
    if (this.#inTransition.has(shard) || this.#changingReplicas.has(shard)) return;
    if (isStaleOwnKey) return void this.#inOneTransition(shard, () => this.#deleteLeaderKey(shard, route.epoch));
    const rank = this.#electionRank(shard);
    if (route.leader !== "" || rank === -1 || this.isDraining || this.#node.machines.isDraining(this.#node.rpc.name))
      return void this.#freeSince.delete(shard);
    const now = this.#node.parts.clock.now();
    const since = this.#freeSince.get(shard) ?? now;
    this.#freeSince.set(shard, since);
    if (now - since >= rank * ShardLeadership.electionDelayMs)
      void this.#inOneTransition(shard, () => this.#claimShard(replica));
  }

  /** This disk's turn among the set's live members; -1 where it is no member. */
  #electionRank(shard: number): number {
    const members = this.#node.shards.find(shard).set?.members ?? [];
    const alive = members
      .filter((member) => member.id === this.#diskId || this.#isResponsive(member.name))
      .map((member) => member.id);
    return Rendezvous.rank(RendezvousKeys.shardLeader(shard), alive).indexOf(this.#diskId);
  }

  #isResponsive(name: string): boolean {
    return this.#node.membership.isAlive(name) && !this.#node.rpc.isUnresponsive(name);
  }

  async #inOneTransition(shard: number, transition: () => Promise<void>): Promise<void> {
    this.#inTransition.add(shard);
    await transition();
    this.#inTransition.delete(shard);
  }

  async #claimShard(replica: Replica): Promise<void> {
    const { shard } = replica;
    const { set, setRevision } = this.#node.shards.find(shard);
    const lease = this.#lease.lease;
    if (set === undefined) return;
    const key = ShardLeaderKey.of(shard);
    const value = ShardLeaderKey.write({ name: this.#node.rpc.name, id: this.#diskId, lease });
    const reply = await this.#node.store.txn({
      checks: [
        { key, revision: 0 },
        { key: ReplicasKey.of(shard), revision: setRevision },
      ],
      puts: [{ key, value, lease }],
    });
    if (reply.outcome !== "done" || this.#lease.lease !== lease) return;
    await this.#lead(replica, set, reply.revision!, lease);
  }

  /** The store names this disk the leader under an epoch: serves once a majority has pledged it. */
  async #lead(replica: Replica, set: ShardSet, epoch: number, lease: string): Promise<void> {
    const { shard } = replica;
    const leader = new ShardLeader(replica, set, epoch, this.#node, this.#commits);
    const service = new ShardService(
      this.#node,
      replica,
      leader,
      this.#pushBatcher,
      () => this.#lease.isHeld && this.#lease.lease === lease,
    );
    const led: LedShard = {
      replica,
      lease,
      leader,
      service,
      repair: new ReplicaRepair(this.#node, replica, leader, lease, this.#recentJoins),
    };
    this.#led.set(shard, led);
    leader.on("over", (why) => void this.#onLeaderStopped(shard, led, why));
    leader.on("serving", () => led.service.configurationChanged());
    if (!(await leader.takeOver())) leader.stop("no majority of the replicas pledged");
  }

  async #onLeaderStopped(shard: number, led: LedShard, why: string): Promise<void> {
    if (this.#led.get(shard) === led) this.#led.delete(shard);
    this.#node.parts.log.note("gave up a shard", { shard, epoch: led.leader.epoch, why });
    if (why === "the replica set was swapped") return;
    this.#freeSince.set(shard, this.#node.parts.clock.now() + 500);
    await this.#deleteLeaderKey(shard, led.leader.epoch);
  }

  async #deleteLeaderKey(shard: number, epoch: number): Promise<void> {
    const key = ShardLeaderKey.of(shard);
    await this.#node.store.txn({ checks: [{ key, revision: epoch }], deletes: [key] });
  }

  /** The store names another leader: whatever this one thinks, it is over. */
  #onRouteChanged(shard: number): void {
    const led = this.#led.get(shard);
    const route = this.#node.shards.find(shard);
    const isOwnSwap = this.#changingReplicas.has(shard) && route.leaderId === this.#diskId;
    if (led !== undefined && route.epoch > led.leader.epoch && !isOwnSwap)
      led.leader.stop("the store names another holder");
    // Freed just now: whose turn it is need not wait for a beat.
    if (route.leader === "" && this.#lease.isHeld && this.#node.feed.isFresh)
      this.#reconcileLeader(this.#replicas[shard]!);
  }
}
