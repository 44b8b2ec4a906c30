import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import { ShardService } from "./shardService.js";
import { ShardLeader } from "./shardLeader.js";
import { Newcomers } from "../repair/newcomers.js";
import { ReplicaRepair } from "../repair/replicaRepair.js";
import { CommitNotices } from "../replication/commitNotices.js";
import type { PushTurn } from "../follows/pushTurn.js";
import type { Replica } from "../replication/replica.js";

interface Claim {
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
  static readonly electionTurnMs = 100;
  /** How often each held shard's replica set is looked at, and a change of it taken one step further. */
  static readonly repairMs = 100;
  /** Changes that only make sets better, at a time, so that copying does not starve what is served. */
  static readonly maxImprovements = 4;

  readonly #node: ClusterNode;
  readonly #lease: LeaseKeepAlive;
  readonly #replicas: readonly Replica[];
  readonly #id: string;
  readonly #claims = new Map<number, Claim>();
  readonly #freeSince = new Map<number, number>();
  readonly #busy = new Set<number>();
  /** Shards whose set is being swapped: their key's new epoch may be heard of before the swap's own reply. */
  readonly #mending = new Set<number>();
  readonly #turn: PushTurn;
  readonly #commits: CommitNotices;
  readonly #newcomers: Newcomers;
  isDraining = false;

  constructor(node: ClusterNode, lease: LeaseKeepAlive, replicas: readonly Replica[], id: string, turn: PushTurn) {
    this.#node = node;
    this.#lease = lease;
    this.#replicas = replicas;
    this.#id = id;
    this.#turn = turn;
    this.#commits = new CommitNotices(node);
    this.#newcomers = new Newcomers(node.membership, node.parts.clock);
    lease.on("lost", () => {
      for (const claim of [...this.#claims.values()]) claim.leader.stop("the lease was lost");
    });
    node.configuration.on("changed", () => {
      for (const claim of this.#claims.values()) if (claim.leader.isServing) claim.service.configurationChanged();
    });
    node.shards.on("changed", (shard) => this.#heed(shard));
    node.parts.clock.every(100, () => this.#tick());
    node.parts.clock.every(ShardLeadership.repairMs, () => this.#repairAll());
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
    this.#claims.get(shard)?.leader.stop(why);
  }

  #tick(): void {
    if (!this.#lease.isHeld) return;
    for (const claim of [...this.#claims.values()]) {
      claim.leader.tick();
      if (claim.leader.isServing) claim.service.tick();
    }
    if (!this.#node.feed.isFresh) return;
    for (const replica of this.#replicas) this.#consider(replica);
  }

  /** What was lost is repaired for all held shards at once; what is only better goes few at a time. */
  #repairAll(): void {
    let improving = this.all().filter(([, { repair }]) => repair.isImproving).length;
    for (const [shard, claim] of this.all()) {
      if (this.#mending.has(shard)) continue;
      const wasImproving = claim.repair.isImproving;
      void this.#repair(shard, claim, improving >= ShardLeadership.maxImprovements);
      if (!wasImproving && claim.repair.isImproving) improving += 1;
    }
  }

  async #repair(shard: number, claim: Claim, isUrgentOnly: boolean): Promise<void> {
    this.#mending.add(shard);
    const swap = await claim.repair.tick(isUrgentOnly);
    this.#mending.delete(shard);
    if (swap === undefined) return this.#heed(shard);
    if (this.#claims.get(shard) === claim) this.#claims.delete(shard);
    claim.leader.stop("the replica set was swapped");
    if (swap.epoch > 0) void this.#guard(shard, () => this.#hold(claim.replica, swap.set, swap.epoch, claim.lease));
  }

  #consider(replica: Replica): void {
    const { shard } = replica;
    const route = this.#node.shards.find(shard);
    // A leader of this name that is not this process was one before it: nobody needs to wait for its lease.
    const isOwnKey = route.leader === this.#node.rpc.name && this.#claims.get(shard)?.leader.epoch !== route.epoch;
    if (this.#busy.has(shard) || this.#mending.has(shard)) return;
    if (isOwnKey) return void this.#guard(shard, () => this.#giveBack(shard, route.epoch));
    const rank = this.#rank(shard);
    if (route.leader !== "" || rank === -1 || this.isDraining || this.#node.machines.isDraining(this.#node.rpc.name))
      return void this.#freeSince.delete(shard);
    const now = this.#node.parts.clock.now();
    const since = this.#freeSince.get(shard) ?? now;
    this.#freeSince.set(shard, since);
    if (now - since >= rank * ShardLeadership.electionTurnMs) void this.#guard(shard, () => this.#claim(replica));
  }

  /** This disk's turn among the set's live members; -1 where it is no member. */
  #rank(shard: number): number {
    const members = this.#node.shards.find(shard).set?.members ?? [];
    const alive = members
      .filter((member) => member.id === this.#id || this.#isWell(member.name))
      .map((member) => member.id);
    return Rendezvous.rank(RendezvousKeys.shardLeader(shard), alive).indexOf(this.#id);
  }

  #isWell(name: string): boolean {
    return this.#node.membership.isAlive(name) && !this.#node.rpc.isUnresponsive(name);
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
    const key = ShardLeaderKey.of(shard);
    const value = ShardLeaderKey.write({ name: this.#node.rpc.name, id: this.#id, lease });
    const reply = await this.#node.store.txn({
      checks: [
        { key, revision: 0 },
        { key: ReplicasKey.of(shard), revision: setRevision },
      ],
      puts: [{ key, value, lease }],
    });
    if (reply.outcome !== "done" || this.#lease.lease !== lease) return;
    await this.#hold(replica, set, reply.revision!, lease);
  }

  /** The store names this disk the leader under an epoch: serves once a majority has pledged it. */
  async #hold(replica: Replica, set: ShardSet, epoch: number, lease: string): Promise<void> {
    const { shard } = replica;
    const leader = new ShardLeader(replica, set, epoch, this.#node, this.#commits);
    const service = new ShardService(
      this.#node,
      replica,
      leader,
      this.#turn,
      () => this.#lease.isHeld && this.#lease.lease === lease,
    );
    const claim: Claim = {
      replica,
      lease,
      leader,
      service,
      repair: new ReplicaRepair(this.#node, replica, leader, lease, this.#newcomers),
    };
    this.#claims.set(shard, claim);
    leader.on("over", (why) => void this.#over(shard, claim, why));
    leader.on("serving", () => claim.service.configurationChanged());
    if (!(await leader.takeOver())) leader.stop("no majority of the replicas pledged");
  }

  async #over(shard: number, claim: Claim, why: string): Promise<void> {
    if (this.#claims.get(shard) === claim) this.#claims.delete(shard);
    this.#node.parts.log.note("gave up a shard", { shard, epoch: claim.leader.epoch, why });
    if (why === "the replica set was swapped") return;
    this.#freeSince.set(shard, this.#node.parts.clock.now() + 500);
    await this.#giveBack(shard, claim.leader.epoch);
  }

  async #giveBack(shard: number, epoch: number): Promise<void> {
    const key = ShardLeaderKey.of(shard);
    await this.#node.store.txn({ checks: [{ key, revision: epoch }], deletes: [key] });
  }

  /** The store names another leader: whatever this one thinks, it is over. */
  #heed(shard: number): void {
    const claim = this.#claims.get(shard);
    const route = this.#node.shards.find(shard);
    const isOwnSwap = this.#mending.has(shard) && route.leaderId === this.#id;
    if (claim !== undefined && route.epoch > claim.leader.epoch && !isOwnSwap)
      claim.leader.stop("the store names another holder");
    // Freed just now: whose turn it is need not wait for a beat.
    if (route.leader === "" && this.#lease.isHeld && this.#node.feed.isFresh) this.#consider(this.#replicas[shard]!);
  }
}
