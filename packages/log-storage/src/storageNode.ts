import type { Follow, Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import { DiskRoom } from "@cranetrack/core/storage/diskRoom.js";
import { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ShardService } from "./shards/shardService.js";
import { ShardLeadership } from "./shards/shardLeadership.js";
import { Placement } from "./repair/placement.js";
import { FollowerReads } from "./follows/followerReads.js";
import { PushBatcher } from "./follows/pushBatcher.js";
import { Replica } from "./replication/replica.js";
import { RoomRecovery } from "./replication/roomRecovery.js";

/**
 * Key under which a data folder stores its disk's identity. The name is an old one that stays, because existing data
 * folders contain it.
 */
const diskIdKey = "shelf";

/**
 * Serves the replicas of the topic logs on one machine's disk and leads shards. Runs on storage machines, and as a part
 * of control nodes.
 */
export class StorageNode {
  /**
   * Milliseconds for which enough disks must have been present before the first replica sets are created: storage
   * machines may start one after the other.
   */
  static readonly firstSetDelayMs = 900;
  /**
   * The same where there are fewer storage machines than replicas are wanted, in ms. The sets are then created smaller
   * than wanted and grow when more machines join.
   */
  static readonly smallFirstSetDelayMs = 5000;
  /** Smallest first replica set, in disks, unless fewer replicas are wanted. */
  static readonly minFirstSet = 3;

  readonly #node: ClusterNode;
  readonly #disk: Disk;
  readonly #isSpare: boolean;
  readonly #lease: LeaseKeepAlive;
  readonly #replicas: Replica[] = [];
  /** By shard number; idle where the replica is the leader's, or this disk is not in the shard's replica set. */
  readonly #followerReads: FollowerReads[] = [];
  readonly #pushBatcher: PushBatcher;
  #leadership: ShardLeadership | undefined;
  /** Invariant: synced to the disk before other nodes learn it; a blank disk gets a new one. */
  #diskId = "";
  /** Clock time in ms since which enough disks are present for the first replica sets; 0 while there are too few. */
  #enoughDisksSince = 0;

  constructor(node: ClusterNode, disk: Disk, isSpare: boolean) {
    this.#node = node;
    this.#disk = disk;
    this.#isSpare = isSpare;
    this.#pushBatcher = new PushBatcher(node);
    const { settings, clock, random } = node.parts;
    this.#lease = new LeaseKeepAlive(`${settings.name}-shards`, settings.shardLeaseMs, node.store, clock, random);
  }

  /** Leads this node's shards; undefined before `start`. */
  get leadership(): ShardLeadership | undefined {
    return this.#leadership;
  }

  /** What serves edges from each shard's replica where it is not the leader's, by shard number. */
  get followerReads(): readonly FollowerReads[] {
    return this.#followerReads;
  }

  /** By shard number, one replica for each shard, whether or not this disk is in the shard's replica set. */
  get replicas(): readonly Replica[] {
    return this.#replicas;
  }

  /** Identity of this disk; empty before `load`. */
  get diskId(): string {
    return this.#diskId;
  }

  /** Loads the disk's identity and the replicas. Returns what is wrong with the data folder, or undefined. */
  load(): string | undefined {
    const storedId = this.#disk.read(diskIdKey)[0];
    this.#diskId = storedId === undefined ? this.#node.parts.random.identity() : Buffer.from(storedId.value).toString();
    for (let shard = 0; shard < this.#node.parts.settings.shards; shard += 1)
      this.#replicas.push(new Replica(shard, this.#diskId, this.#disk, this.#node));
    for (const replica of this.#replicas)
      this.#followerReads.push(new FollowerReads(this.#node, replica, this.#pushBatcher));
    return this.#replicas.map((replica) => replica.log.findDamage()).find((fault) => fault !== undefined);
  }

  /** After `load`: syncs the disk's identity, then starts serving requests and claiming shards. */
  async start(): Promise<void> {
    await this.#disk.write([{ key: diskIdKey, value: Buffer.from(this.#diskId) }]);
    this.#node.membership.self.logDisk = this.#diskId;
    this.#serveReplicas();
    this.#serveEdges();
    this.#leadership = new ShardLeadership(this.#node, this.#lease, this.#replicas, this.#diskId, this.#pushBatcher);
    this.#lease.start();
    const roomRecovery = new RoomRecovery(this.#node.parts.log, new DiskRoom(this.#disk), this.#replicas);
    this.#node.parts.clock.every(RoomRecovery.intervalMs, () => roomRecovery.tick());
    this.#node.parts.clock.every(100, () => this.#followerReads.forEach((reads) => reads.tick()));
    if (!this.#isSpare) this.#node.parts.clock.every(300, () => this.#createFirstSets());
  }

  /** Gives up all shards and ends the lease, so that other nodes can take over without waiting for it to expire. */
  async stop(): Promise<void> {
    if (this.#leadership !== undefined) this.#leadership.isDraining = true;
    await this.#leadership?.releaseAll();
    await this.#lease.end();
  }

  /**
   * For the status page: the lease, the disk's identity, and each shard that is led here with the lag of its replicas,
   * in entries.
   */
  status(): object {
    const ledShards = (this.#leadership?.all() ?? []).map(([shard, { leader, repair }]) => ({
      shard,
      epoch: leader.epoch,
      isServing: leader.isServing,
      occupancy: leader.pendingCount,
      move: repair.progress ?? null,
      replicas: leader.set.members.map(({ id, name }) => ({
        name,
        behind: this.#replicas[shard]!.log.lastIndex - (leader.replicator?.matchOf(id) ?? 0),
      })),
    }));
    return { hasLease: this.#lease.isHeld, leasesLost: this.#lease.losses, diskId: this.#diskId, ledShards };
  }

  /**
   * Serves requests of other storage nodes. Requests for another disk, which this machine had before, are not answered.
   */
  #serveReplicas(): void {
    const { rpc } = this.#node;
    const findReplica = (group: string): Replica | undefined =>
      this.#replicas.find((replica) => replica.log.group === group);
    rpc.serve("prepare", (prepare) =>
      prepare.receiver === this.#diskId ? findReplica(prepare.group)?.prepare(prepare) : undefined,
    );
    rpc.serve("shardPull", (pull) =>
      pull.receiver === this.#diskId ? findReplica(pull.group)?.pull(pull) : undefined,
    );
    rpc.serve("commits", ({ receiver, commits }) => {
      if (receiver === this.#diskId)
        for (const { shard, term, index } of commits) this.#replicas[shard]?.onCommitNotice(term, index);
      return undefined;
    });
  }

  /** Serves requests of edges, to the shard's leader or to a replica that pushes to edges near it. */
  #serveEdges(): void {
    const { rpc } = this.#node;
    rpc.serve(
      "publish",
      async (publish) =>
        (await this.#findService(publish.shard)?.publish(publish)) ?? {
          case: "publishReply",
          value: { outcome: "away", leader: this.#node.shards.find(publish.shard).leader },
        },
    );
    rpc.serve("follow", (follow, frame) => {
      const unavailable: BodyInit = {
        case: "followReply",
        value: { outcome: "away", leader: this.#node.shards.find(follow.shard).leader },
      };
      if (follow.isAtReplica) return this.#followerReads[follow.shard]?.follow(follow, frame.from) ?? unavailable;
      return this.#findService(follow.shard)?.follow(follow, frame.from) ?? unavailable;
    });
    rpc.serve(
      "fetch",
      (fetch) =>
        (fetch.isAtReplica ? this.#followerReads[fetch.shard] : this.#findService(fetch.shard))?.fetch(fetch) ?? {
          case: "fetchReply",
          value: { outcome: "away" },
        },
    );
    rpc.serve(
      "startRequest",
      async (request) =>
        (await this.#findService(request.shard)?.start(request)) ?? { case: "startReply", value: { outcome: "away" } },
    );
    rpc.serve("followHeartbeats", ({ heartbeats }) => this.#onFollowHeartbeats(heartbeats));
    rpc.serve(
      "countRequest",
      (request) =>
        this.#findService(request.shard)?.count(request) ?? { case: "countReply", value: { outcome: "away" } },
    );
  }

  /**
   * Answers an edge's heartbeats for several shards at once, each with its outcome and the index up to which the
   * shard's log is applied here.
   */
  #onFollowHeartbeats(heartbeats: readonly Follow[]): BodyInit {
    const outcomes = heartbeats.map((heartbeat) => {
      const { shard, isAtReplica } = heartbeat;
      const handler = isAtReplica ? this.#followerReads[shard] : this.#findService(shard);
      return handler?.onHeartbeat(heartbeat) ?? "away";
    });
    const applied = heartbeats.map(({ shard }) => this.#replicas[shard]?.applied ?? 0);
    return { case: "followHeartbeatsReply", value: { outcomes, applied } };
  }

  #findService(shard: number): ShardService | undefined {
    return this.#leadership?.find(shard)?.service;
  }

  /** Creates the first replica sets; each shard's is created by the storage machine that ranks first for it. */
  #createFirstSets(): void {
    const { membership, feed, shards, parts } = this.#node;
    const storageMembers = membership.alive().filter((member) => member.isStorage && member.logDisk !== "");
    const { replicas } = parts.settings;
    const minDisks = Math.min(replicas, StorageNode.minFirstSet);
    if (!feed.isFresh || storageMembers.length < minDisks) return void (this.#enoughDisksSince = 0);
    if (this.#enoughDisksSince === 0) this.#enoughDisksSince = parts.clock.now();
    const waitMs = storageMembers.length < replicas ? StorageNode.smallFirstSetDelayMs : StorageNode.firstSetDelayMs;
    if (parts.clock.now() - this.#enoughDisksSince < waitMs) return;
    const names = storageMembers.map((member) => member.name);
    for (let shard = 0; shard < parts.settings.shards; shard += 1) {
      const isOwnTurn = Rendezvous.rank(RendezvousKeys.replicaSetCreation(shard), names)[0] === parts.settings.name;
      if (shards.find(shard).set === undefined && isOwnTurn) this.#createFirstSet(shard, storageMembers);
    }
  }

  #createFirstSet(shard: number, storageMembers: readonly Member[]): void {
    const { store, parts } = this.#node;
    const chosen = Placement.pick(RendezvousKeys.replicaSet(shard), storageMembers, parts.settings.replicas);
    const members = chosen.map(({ logDisk, name, zone }) => ({ id: logDisk, name, zone }));
    const key = ReplicasKey.of(shard);
    void store.txn({
      checks: [{ key, revision: 0 }],
      puts: [{ key, value: ReplicasKey.write({ members }) }],
    });
  }
}
