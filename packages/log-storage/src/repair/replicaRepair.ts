import { ShardLeaderKey } from "@cranetrack/core/keys/shardLeaderKey.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ShardSet } from "@cranetrack/core/feeds/shardSet.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { ShardLeader } from "../shards/shardLeader.js";
import type { Replica } from "../replication/replica.js";
import type { RecentJoins } from "./newcomers.js";
import { ReplicaChoice, type ReplicaChange } from "./replicaChoice.js";
import { isSafeToDecide } from "./setChange.js";

interface Move {
  readonly change: ReplicaChange;
  readonly set: ShardSet;
  /** Once it is being decided, the store may have taken the new set, whatever this process has heard of it. */
  step: "copying" | "joining" | "deciding";
  joinedAt: number;
  readonly startedAt: number;
}
/** The set that the store has taken, and the epoch under which this disk holds it; 0 where it is out. */
export interface InstalledSet {
  set: ShardSet;
  epoch: number;
}

/**
 * Keeps one held shard's replica set whole, by one change at a time: a joining replica copies, then commits count the
 * old
 * set and the new one, then one transaction of the store swaps the set and moves the epoch.
 * Invariants: a joining replica has everything before it counts; from the moment the new set may be in force until that
 * is
 * decided, commits need a majority of both; the store is asked to take a set only while a majority of it, members that
 * answer just now, has everything that is committed.
 */
export class ReplicaRepair {
  /** A change that has not come to its decision by then is dropped and chosen anew. */
  static readonly changeTimeoutMs = 60_000;
  /** A joining replica that has answered nothing for so long is gone. */
  static readonly joiningLostMs = 3000;
  /** A joining replica that lacks no more than so many entries is near enough for commits to wait for it. */
  static readonly maxCatchUpEntries = 20;

  readonly #node: ClusterNode;
  readonly #replica: Replica;
  readonly #leader: ShardLeader;
  readonly #lease: string;
  readonly #choice: ReplicaChoice;
  #move: Move | undefined;
  #isWriting = false;

  constructor(node: ClusterNode, replica: Replica, leader: ShardLeader, lease: string, recentJoins: RecentJoins) {
    this.#node = node;
    this.#replica = replica;
    this.#leader = leader;
    this.#lease = lease;
    this.#choice = new ReplicaChoice(node, replica, leader, recentJoins);
  }

  get progress(): { out: string; in: string; step: string; why: string } | undefined {
    if (this.#move === undefined) return undefined;
    const { change, step } = this.#move;
    return { out: change.out?.name ?? "", in: change.in?.name ?? "", step, why: change.why };
  }

  /** Whether a change is under way that could as well be made later. */
  get isImproving(): boolean {
    return this.#move?.change.isUrgent === false;
  }

  /** One step further; a set that the store has taken is handed back to be held under its new epoch. */
  async tick(isUrgentOnly: boolean): Promise<InstalledSet | undefined> {
    if (!this.#leader.isServing || this.#isWriting) return undefined;
    if (this.#move === undefined) this.#begin(isUrgentOnly);
    const move = this.#move;
    const { replicator } = this.#leader;
    if (move === undefined || replicator === undefined) return undefined;
    if (move.step === "copying" && this.#isCaughtUp(move)) this.#startJoint(move);
    const joined = { set: move.set, joiningReplica: move.change.in?.id, joinedAt: move.joinedAt };
    if (move.step !== "copying" && isSafeToDecide(joined, replicator)) return this.#decide(move);
    if (move.step !== "deciding" && this.#hasFailed(move)) this.#abandon();
    return undefined;
  }

  #begin(isUrgentOnly: boolean): void {
    const change = this.#choice.next(isUrgentOnly);
    if (change === undefined) return;
    const staying = this.#leader.set.members.filter((member) => member.id !== change.out?.id);
    const members = change.in === undefined ? staying : [...staying, change.in];
    this.#move = {
      change,
      set: { members },
      step: "copying",
      joinedAt: 0,
      startedAt: this.#node.parts.clock.now(),
    };
    this.#leader.setQuorums([this.#leader.set], change.in === undefined ? [] : [change.in.id]);
    this.#leader.replicator?.sendHeartbeats(Number.POSITIVE_INFINITY);
    this.#node.parts.log.note("changes a replica set", {
      shard: this.#replica.shard,
      out: change.out?.name ?? "",
      in: change.in?.name ?? "",
      why: change.why,
    });
  }

  #isCaughtUp({ change }: Move): boolean {
    if (change.in === undefined) return true;
    const match = this.#leader.replicator!.matchOf(change.in.id);
    return match > 0 && this.#replica.log.lastIndex - match <= ReplicaRepair.maxCatchUpEntries;
  }

  #startJoint(move: Move): void {
    move.step = "joining";
    move.joinedAt = this.#replica.log.lastIndex;
    this.#leader.setQuorums([this.#leader.set, move.set], []);
  }

  #hasFailed({ change, startedAt }: Move): boolean {
    const isUnresponsive =
      change.in !== undefined && this.#leader.replicator!.sinceContactMs(change.in.id) > ReplicaRepair.joiningLostMs;
    return isUnresponsive || this.#node.parts.clock.now() - startedAt > ReplicaRepair.changeTimeoutMs;
  }

  #abandon(): void {
    this.#move = undefined;
    this.#leader.setQuorums([this.#leader.set], []);
  }

  async #decide(move: Move): Promise<InstalledSet | undefined> {
    move.step = "deciding";
    this.#isWriting = true;
    const { shard, id } = this.#replica;
    const isOut = move.change.out?.id === id;
    const leaderKey = ShardLeaderKey.of(shard);
    const setKey = ReplicasKey.of(shard);
    const { setRevision } = this.#node.shards.find(shard);
    const checks = [
      { key: leaderKey, revision: this.#leader.epoch },
      { key: setKey, revision: setRevision },
    ];
    const setPut = { key: setKey, value: ReplicasKey.write(move.set) };
    const leaderPut = {
      key: leaderKey,
      value: ShardLeaderKey.write({ name: this.#node.rpc.name, id, lease: this.#lease }),
      lease: this.#lease,
    };
    const written = await this.#node.store.txn(
      isOut ? { checks, puts: [setPut], deletes: [leaderKey] } : { checks, puts: [setPut, leaderPut] },
    );
    this.#isWriting = false;
    if (written.outcome === "done") return { set: move.set, epoch: isOut ? 0 : written.revision! };
    if (written.outcome === "conflict") this.#leader.stop("the store names another holder or set");
    return undefined;
  }
}
