import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import { decideLeadershipStep, electionRank } from "./leadershipStep.js";
import { ShardService } from "./shardService.js";
import { ShardLeader } from "./shardLeader.js";
import { RecentJoins } from "../repair/recentJoins.js";
import { ReplicaRepair } from "../repair/replicaRepair.js";
import { CommitNotices } from "../replication/commitNotices.js";
import type { PushBatcher } from "../follows/pushBatcher.js";
import type { Replica } from "../replication/replica.js";

/**
 * Reason for stopping a leader when this disk, or another, leads on under the new set's epoch: the leader key is not
 * deleted then.
 */
const replicaSetSwapped = "the replica set was swapped";

/** A shard that this process leads or is about to lead, with the parts that run for it. */
interface LedShard {
  replica: Replica;
  /** The lease that the leader key is bound to. */
  lease: string;
  leader: ShardLeader;
  service: ShardService;
  repair: ReplicaRepair;
}

/**
 * Claims free shards for this disk, in rendezvous order, by compare-and-set in the store; no node assigns them.
 * Invariant: a leader here acts only while the lease that its key is bound to is held.
 */
export class ShardLeadership {
  /** Interval in ms at which each led shard's replica set is checked, and a change of it taken one step further. */
  static readonly repairIntervalMs = 100;
  /** Limit of concurrent changes that only improve a set, so that copying does not starve the shards' traffic. */
  static readonly maxImprovements = 4;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #replicas: readonly Replica[];
  readonly #diskId: string;
  readonly #ledShards = new Map<number, LedShard>();
  /** Clock time in ms since which this process has seen the shard free, by shard number. */
  readonly #freeSince = new Map<number, number>();
  /** Shards whose leader key is being claimed or deleted, or that are being taken over. */
  readonly #inTransition = new Set<number>();
  /**
   * Shards with a repair step in progress. If it swaps the set, the feed may deliver the leader key's new epoch before
   * the swap's own reply arrives.
   */
  readonly #changingReplicas = new Set<number>();
  readonly #pushBatcher: PushBatcher;
  readonly #commitNotices: CommitNotices;
  readonly #recentJoins: RecentJoins;
  readonly #isResponsiveMember = (member: string): boolean =>
    this.#node.membership.isAlive(member) && !this.#node.rpc.isUnresponsive(member);
  /** Set once the process is stopping: it claims no more shards. */
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
    this.#commitNotices = new CommitNotices(node);
    this.#recentJoins = new RecentJoins(node.membership, node.parts.clock);
    lease.on("lost", () => {
      for (const led of [...this.#ledShards.values()]) led.leader.stop("the lease was lost");
    });
    node.configuration.on("changed", () => {
      for (const led of this.#ledShards.values()) if (led.leader.isServing) led.service.applyConfiguration();
    });
    node.shards.on("changed", (shard) => this.#onRouteChanged(shard));
    node.parts.clock.every(100, () => this.#tick());
    node.parts.clock.every(ShardLeadership.repairIntervalMs, () => this.#repairAll());
  }

  /** What this process runs for a shard that it leads, or is about to lead. */
  find(shard: number): LedShard | undefined {
    return this.#ledShards.get(shard);
  }

  /** Shard numbers and led shards, in the order in which they were claimed. */
  all(): Array<[number, LedShard]> {
    return [...this.#ledShards];
  }

  /** Releases every shard, so that other nodes can claim them at once. */
  async releaseAll(): Promise<void> {
    await Promise.all([...this.#ledShards.keys()].map((shard) => this.release(shard, "the process is stopping")));
  }

  /** Stops leading a shard, which also deletes its leader key; `why` goes into the log line. */
  async release(shard: number, why: string): Promise<void> {
    this.#ledShards.get(shard)?.leader.stop(why);
  }

  #tick(): void {
    if (!this.#lease.isHeld) return;
    for (const led of [...this.#ledShards.values()]) {
      led.leader.tick();
      if (led.leader.isServing) led.service.tick();
    }
    if (!this.#node.feed.isFresh) return;
    for (const replica of this.#replicas) this.#reconcileLeader(replica);
  }

  /** Lost replicas are replaced for all led shards at once; changes that only improve a set run few at a time. */
  #repairAll(): void {
    let improvementCount = this.all().filter(([, { repair }]) => repair.isImproving).length;
    for (const [shard, led] of this.all()) {
      if (this.#changingReplicas.has(shard)) continue;
      const wasImproving = led.repair.isImproving;
      void this.#repair(shard, led, improvementCount >= ShardLeadership.maxImprovements);
      if (!wasImproving && led.repair.isImproving) improvementCount += 1;
    }
  }

  async #repair(shard: number, led: LedShard, isUrgentOnly: boolean): Promise<void> {
    this.#changingReplicas.add(shard);
    const swap = await led.repair.tick(isUrgentOnly);
    this.#changingReplicas.delete(shard);
    if (swap === undefined) return this.#onRouteChanged(shard);
    if (this.#ledShards.get(shard) === led) this.#ledShards.delete(shard);
    led.leader.stop(replicaSetSwapped);
    if (swap.epoch > 0)
      void this.#inOneTransition(shard, () => this.#lead(led.replica, swap.set, swap.epoch, led.lease));
  }

  #reconcileLeader(replica: Replica): void {
    const { shard } = replica;
    if (this.#inTransition.has(shard) || this.#changingReplicas.has(shard)) return;
    const route = this.#node.shards.find(shard);
    const { name } = this.#node.rpc;
    const now = this.#node.parts.clock.now();
    const freeSince = this.#freeSince.get(shard) ?? now;
    const step = decideLeadershipStep({
      route,
      ownName: name,
      ledEpoch: this.#ledShards.get(shard)?.leader.epoch,
      rank: electionRank(shard, route.set?.members ?? [], this.#diskId, this.#isResponsiveMember),
      isDraining: this.isDraining || this.#node.machines.isDraining(name),
      freeForMs: now - freeSince,
    });
    if (step === "delete-stale-key")
      return void this.#inOneTransition(shard, () => this.#deleteLeaderKey(shard, route.epoch));
    if (step === "not-eligible") return void this.#freeSince.delete(shard);
    this.#freeSince.set(shard, freeSince);
    if (step === "claim") void this.#inOneTransition(shard, () => this.#claimShard(replica));
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

  /**
   * Leads a shard for which the store names this disk the leader under `epoch`: serves once a majority has promised it.
   */
  async #lead(replica: Replica, set: ShardSet, epoch: number, lease: string): Promise<void> {
    const { shard } = replica;
    const leader = new ShardLeader(replica, set, epoch, this.#node, this.#commitNotices);
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
    this.#ledShards.set(shard, led);
    leader.on("over", (why) => void this.#onLeaderStopped(shard, led, why));
    leader.on("serving", () => led.service.applyConfiguration());
    if (!(await leader.takeOver())) leader.stop("no majority of the replicas promised");
  }

  async #onLeaderStopped(shard: number, led: LedShard, why: string): Promise<void> {
    if (this.#ledShards.get(shard) === led) this.#ledShards.delete(shard);
    this.#node.parts.log.note("stopped leading a shard", { shard, epoch: led.leader.epoch, why });
    if (why === replicaSetSwapped) return;
    // Gives the other members of the set 500 ms to claim the shard first.
    this.#freeSince.set(shard, this.#node.parts.clock.now() + 500);
    await this.#deleteLeaderKey(shard, led.leader.epoch);
  }

  async #deleteLeaderKey(shard: number, epoch: number): Promise<void> {
    const key = ShardLeaderKey.of(shard);
    await this.#node.store.txn({ checks: [{ key, revision: epoch }], deletes: [key] });
  }

  /** Stops the local leader if the store names a later one, whatever the state of the local one is. */
  #onRouteChanged(shard: number): void {
    const led = this.#ledShards.get(shard);
    const route = this.#node.shards.find(shard);
    const isOwnSwap = this.#changingReplicas.has(shard) && route.leaderId === this.#diskId;
    if (led !== undefined && route.epoch > led.leader.epoch && !isOwnSwap)
      led.leader.stop("the store names another leader");
    // A shard that was just freed can be claimed without waiting for the next tick.
    if (route.leader === "" && this.#lease.isHeld && this.#node.feed.isFresh)
      this.#reconcileLeader(this.#replicas[shard]!);
  }
}
