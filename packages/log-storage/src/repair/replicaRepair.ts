import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "../shards/shardLeader.js";
import type { Replica } from "../replication/replica.js";
import type { RecentJoins } from "./recentJoins.js";
import { ReplicaChoice, type ReplicaChange } from "./replicaChoice.js";
import { isSafeToInstall } from "./setChange.js";

/** The change that is under way. */
interface ChangeInProgress {
  readonly change: ReplicaChange;
  readonly newSet: ShardSet;
  /** From `deciding` on, the store may have taken the new set, even if this process received no reply saying so. */
  step: "copying" | "joining" | "deciding";
  /** The last index of the log when commits began to need both sets; 0 before. */
  jointSinceIndex: number;
  /** Milliseconds of the node's clock. */
  readonly startedAt: number;
}

/** The set that the store has taken, and the epoch in which this replica leads it; 0 if this replica has left it. */
export interface InstalledSet {
  set: ShardSet;
  epoch: number;
}

/**
 * Keeps the replica set of a shard that this node leads complete, one change at a time: the joining replica copies the
 * log, then commits need a majority of both the old and the new set, then one transaction of the metadata store
 * installs the new set and a new epoch.
 * Invariants: a joining replica has all committed entries before it counts; from the moment when the new set may be in
 * force until the outcome is known, commits need a majority of both sets; the store is asked to take a set only while a
 * majority of it, counting only members that reply, has everything that is committed.
 */
export class ReplicaRepair {
  /** A change that has not reached `deciding` after this time is abandoned and chosen again. */
  static readonly changeTimeoutMs = 60_000;
  /** A joining replica that has sent no reply for this long is considered lost. */
  static readonly joiningLostMs = 3000;
  /** A joining replica that lacks at most this many entries is close enough for commits to wait for it. */
  static readonly maxCatchUpEntries = 20;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  readonly #leaseId: string;
  readonly #choice: ReplicaChoice;
  #current: ChangeInProgress | undefined;
  #isWritingToStore = false;

  constructor(node: ClusterNode, replica: Replica, leader: ShardLeader, leaseId: string, recentJoins: RecentJoins) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#leaseId = leaseId;
    this.#choice = new ReplicaChoice(node, replica, leader, recentJoins);
  }

  /** The change under way, for status: `out` and `in` name the machines and are empty where none leaves or joins. */
  get progress(): { out: string; in: string; step: string; why: string } | undefined {
    if (this.#current === undefined) return undefined;
    const { change, step } = this.#current;
    return { out: change.leavingMember?.name ?? "", in: change.joiningMember?.name ?? "", step, why: change.reason };
  }

  /** Whether the change under way is not urgent and could be made later. */
  get isImproving(): boolean {
    return this.#current?.change.isUrgent === false;
  }

  /** Takes the next step, if one is possible; returns the new set and epoch once the store has taken them. */
  async tick(isUrgentOnly: boolean): Promise<InstalledSet | undefined> {
    if (!this.#leader.isServing || this.#isWritingToStore) return undefined;
    if (this.#current === undefined) this.#beginChange(isUrgentOnly);
    const current = this.#current;
    const { replicator } = this.#leader;
    if (current === undefined || replicator === undefined) return undefined;
    if (current.step === "copying" && this.#isCaughtUp(current)) this.#startJointCommits(current);
    const jointSet = {
      set: current.newSet,
      joiningReplica: current.change.joiningMember?.id,
      jointSinceIndex: current.jointSinceIndex,
    };
    if (current.step !== "copying" && isSafeToInstall(jointSet, replicator)) return this.#installNewSet(current);
    if (current.step !== "deciding" && this.#hasFailedOrTimedOut(current)) this.#abandonChange();
    return undefined;
  }

  #beginChange(isUrgentOnly: boolean): void {
    const change = this.#choice.nextChange(isUrgentOnly);
    if (change === undefined) return;
    const staying = this.#leader.set.members.filter((member) => member.id !== change.leavingMember?.id);
    const members = change.joiningMember === undefined ? staying : [...staying, change.joiningMember];
    this.#current = {
      change,
      newSet: { members },
      step: "copying",
      jointSinceIndex: 0,
      startedAt: this.#node.parts.clock.now(),
    };
    this.#leader.setQuorums([this.#leader.set], change.joiningMember === undefined ? [] : [change.joiningMember.id]);
    this.#leader.replicator?.sendHeartbeats(Number.POSITIVE_INFINITY);
    this.#node.parts.log.note("replica set change started", {
      shard: this.#replica.shard,
      out: change.leavingMember?.name ?? "",
      in: change.joiningMember?.name ?? "",
      why: change.reason,
    });
  }

  /** Whether the joining replica has nearly all entries, so that commits may need the new set too. */
  #isCaughtUp({ change }: ChangeInProgress): boolean {
    if (change.joiningMember === undefined) return true;
    const match = this.#leader.replicator!.matchOf(change.joiningMember.id);
    return match > 0 && this.#replica.log.lastIndex - match <= ReplicaRepair.maxCatchUpEntries;
  }

  #startJointCommits(current: ChangeInProgress): void {
    current.step = "joining";
    current.jointSinceIndex = this.#replica.log.lastIndex;
    this.#leader.setQuorums([this.#leader.set, current.newSet], []);
  }

  #hasFailedOrTimedOut({ change, startedAt }: ChangeInProgress): boolean {
    const isUnresponsive =
      change.joiningMember !== undefined &&
      this.#leader.replicator!.sinceContactMs(change.joiningMember.id) > ReplicaRepair.joiningLostMs;
    return isUnresponsive || this.#node.parts.clock.now() - startedAt > ReplicaRepair.changeTimeoutMs;
  }

  #abandonChange(): void {
    this.#current = undefined;
    this.#leader.setQuorums([this.#leader.set], []);
  }

  /** Writes the new set, and this node as leader in a new epoch, to the store if neither key has changed. */
  async #installNewSet(current: ChangeInProgress): Promise<InstalledSet | undefined> {
    current.step = "deciding";
    this.#isWritingToStore = true;
    const { shard, id } = this.#replica;
    const isThisReplicaLeaving = current.change.leavingMember?.id === id;
    const leaderKey = ShardLeaderKey.of(shard);
    const setKey = ReplicasKey.of(shard);
    const { setRevision } = this.#node.shards.find(shard);
    const checks = [
      { key: leaderKey, revision: this.#leader.epoch },
      { key: setKey, revision: setRevision },
    ];
    const setPut = { key: setKey, value: ReplicasKey.write(current.newSet) };
    const leaderPut = {
      key: leaderKey,
      value: ShardLeaderKey.write({ name: this.#node.rpc.name, id, lease: this.#leaseId }),
      lease: this.#leaseId,
    };
    const result = await this.#node.store.txn(
      isThisReplicaLeaving ? { checks, puts: [setPut], deletes: [leaderKey] } : { checks, puts: [setPut, leaderPut] },
    );
    this.#isWritingToStore = false;
    if (result.outcome === "done") return { set: current.newSet, epoch: isThisReplicaLeaving ? 0 : result.revision! };
    if (result.outcome === "conflict") this.#leader.stop("the store names another leader or set");
    return undefined;
  }
}
