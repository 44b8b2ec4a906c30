import type { Member } from "@cranetrack/core/gen/cranetrack_pb.js";
import { ReplicasKey } from "@cranetrack/core/keys/replicasKey.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import { LeaseKeepAlive } from "@cranetrack/core/store/leaseKeepAlive.js";
import type { BodyInit } from "@cranetrack/core/rpc/wire.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";
import type { ShardService } from "./shards/shardService.js";
import { ShardLeadership } from "./shards/shardLeadership.js";
import { Placement } from "./repair/placement.js";
import { FollowerReads } from "./follows/followerReads.js";
import { PushBatcher } from "./follows/pushTurn.js";
import { Replica } from "./replication/replica.js";

/** The topic logs on one machine's disk. Runs on storage machines, also as a part of control nodes. */
export class StorageNode {
  /** Storage machines may come one after the other: the first sets are named once all were there for so long. */
  static readonly firstSetDelayMs = 900;
  /** Sets smaller than wanted are named after so long, and grow when more machines come; never below three disks. */
  static readonly smallFirstSetDelayMs = 5000;
  static readonly minFirstSet = 3;

  readonly #node: ClusterNode;
  readonly #disk: Disk;
  readonly #isSpare: boolean;
  readonly #lease: LeaseKeepAlive;
  readonly #replicas: Replica[] = [];
  /** Of each shard; idle where its replica is the leader's, or this disk is not in its set. */
  readonly #followerReads: FollowerReads[] = [];
  readonly #pushBatcher: PushBatcher;
  #leadership: ShardLeadership | undefined;
  /** Invariant: synced before anybody hears it; a blank disk gets a new one. */
  #diskId = "";
  #enoughDisksSince = 0;

  constructor(node: ClusterNode, disk: Disk, isSpare: boolean) {
    this.#node = node;
    this.#disk = disk;
    this.#isSpare = isSpare;
    this.#pushBatcher = new PushBatcher(node);
    const { settings, clock, random } = node.parts;
    this.#lease = new LeaseKeepAlive(`${settings.name}-shards`, settings.shardLeaseMs, node.store, clock, random);
  }

  get leadership(): ShardLeadership | undefined {
    return this.#leadership;
  }

  /** Of each shard. */
  get followerReads(): readonly FollowerReads[] {
    return this.#followerReads;
  }

  get replicas(): readonly Replica[] {
    return this.#replicas;
  }

  get diskId(): string {
    return this.#diskId;
  }

  /** Says what is wrong with the data folder, if anything is. */
  load(): string | undefined {
    const kept = this.#disk.read("shelf")[0];
    this.#diskId = kept === undefined ? this.#node.parts.random.identity() : Buffer.from(kept.value).toString();
    for (let shard = 0; shard < this.#node.parts.settings.shards; shard += 1)
      this.#replicas.push(new Replica(shard, this.#diskId, this.#disk, this.#node));
    for (const replica of this.#replicas)
      this.#followerReads.push(new FollowerReads(this.#node, replica, this.#pushBatcher));
    return this.#replicas.map((replica) => replica.log.fault()).find((fault) => fault !== undefined);
  }

  async start(): Promise<void> {
    await this.#disk.write([{ key: "shelf", value: Buffer.from(this.#diskId) }]);
    this.#node.membership.self.logDisk = this.#diskId;
    const { rpc } = this.#node;
    const find = (group: string): Replica | undefined => this.#replicas.find((replica) => replica.log.group === group);
    rpc.serve("prepare", (prepare) =>
      prepare.receiver === this.#diskId ? find(prepare.group)?.prepare(prepare) : undefined,
    );
    rpc.serve("shardPull", (pull) => (pull.receiver === this.#diskId ? find(pull.group)?.pull(pull) : undefined));
    rpc.serve(
      "publish",
      async (publish) =>
        (await this.#service(publish.shard)?.publish(publish)) ?? {
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
      return this.#service(follow.shard)?.follow(follow, frame.from) ?? unavailable;
    });
    rpc.serve(
      "fetch",
      (fetch) =>
        (fetch.isAtReplica ? this.#followerReads[fetch.shard] : this.#service(fetch.shard))?.fetch(fetch) ?? {
          case: "fetchReply",
          value: { outcome: "away" },
        },
    );
    rpc.serve(
      "startRequest",
      async (ask) => (await this.#service(ask.shard)?.start(ask)) ?? { case: "startReply", value: { outcome: "away" } },
    );
    rpc.serve("followHeartbeats", ({ heartbeats }) => ({
      case: "followHeartbeatsReply",
      value: {
        outcomes: heartbeats.map(
          (heartbeat) =>
            (heartbeat.isAtReplica
              ? this.#followerReads[heartbeat.shard]
              : this.#service(heartbeat.shard)
            )?.onHeartbeat(heartbeat) ?? "away",
        ),
        applied: heartbeats.map((heartbeat) => this.#replicas[heartbeat.shard]?.applied ?? 0),
      },
    }));
    rpc.serve("commits", ({ receiver, commits }) => {
      if (receiver === this.#diskId)
        for (const { shard, term, index } of commits) this.#replicas[shard]?.onCommitNotice(term, index);
      return undefined;
    });
    rpc.serve(
      "countRequest",
      (ask) => this.#service(ask.shard)?.count(ask) ?? { case: "countReply", value: { outcome: "away" } },
    );
    this.#leadership = new ShardLeadership(this.#node, this.#lease, this.#replicas, this.#diskId, this.#pushBatcher);
    this.#lease.start();
    this.#node.parts.clock.every(100, () => this.#followerReads.forEach((followerReads) => followerReads.tick()));
    if (!this.#isSpare) this.#node.parts.clock.every(300, () => this.#createFirstSets());
  }

  async stop(): Promise<void> {
    if (this.#leadership !== undefined) this.#leadership.isDraining = true;
    await this.#leadership?.releaseAll();
    await this.#lease.end();
  }

  status(): object {
    const held = (this.#leadership?.all() ?? []).map(([shard, { leader, repair }]) => ({
      shard,
      epoch: leader.epoch,
      isServing: leader.isServing,
      occupancy: leader.pendingCount,
      move: repair.progress ?? null,
      replicas: leader.set.members.map(({ id: diskId, name }) => ({
        name,
        behind: this.#replicas[shard]!.log.lastIndex - (leader.replicator?.matchOf(diskId) ?? 0),
      })),
    }));
    return { hasLease: this.#lease.isHeld, leasesLost: this.#lease.losses, shelf: this.#diskId, held };
  }

  #service(shard: number): ShardService | undefined {
    return this.#leadership?.find(shard)?.service;
  }

  /** Names the first replica sets, each shard's by the storage machine that ranks first for it. */
  #createFirstSets(): void {
    const { membership, feed, shards, parts } = this.#node;
    const storage = membership.alive().filter((member) => member.isStorage && member.logDisk !== "");
    const { replicas } = parts.settings;
    const minDisks = Math.min(replicas, StorageNode.minFirstSet);
    if (!feed.isFresh || storage.length < minDisks) return void (this.#enoughDisksSince = 0);
    if (this.#enoughDisksSince === 0) this.#enoughDisksSince = parts.clock.now();
    const waitMs = storage.length < replicas ? StorageNode.smallFirstSetDelayMs : StorageNode.firstSetDelayMs;
    if (parts.clock.now() - this.#enoughDisksSince < waitMs) return;
    const names = storage.map((member) => member.name);
    for (let shard = 0; shard < parts.settings.shards; shard += 1) {
      const isOwnTurn = Rendezvous.rank(RendezvousKeys.replicaSetCreation(shard), names)[0] === parts.settings.name;
      if (shards.find(shard).set === undefined && isOwnTurn) this.#createFirstSet(shard, storage);
    }
  }

  #createFirstSet(shard: number, storage: readonly Member[]): void {
    const { store, parts } = this.#node;
    const chosen = Placement.pick(RendezvousKeys.replicaSet(shard), storage, parts.settings.replicas);
    const members = chosen.map(({ logDisk, name, zone }) => ({ diskId: logDisk, name, zone }));
    const key = ReplicasKey.of(shard);
    void store.txn({
      checks: [{ key, revision: 0 }],
      puts: [{ key, value: ReplicasKey.write({ members }) }],
    });
  }
}
