import { StorageNode } from "@cranetrack/log-storage/storageNode.js";
import { logGroupNames } from "@cranetrack/core/replication/logGroups.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import type { Disk } from "@cranetrack/core/storage/disk.js";
import type { Router } from "@cranetrack/core/http/router.js";
import { ApiReplies } from "@cranetrack/core/http/apiReply.js";
import { DrainMachine } from "./drain/drainMachine.js";
import { getRollout } from "./configuration/getRollout.js";
import { proposeConfiguration } from "./configuration/proposeConfiguration.js";
import { readConfiguration } from "./configuration/readDocument.js";
import { Founding } from "./consensus/founding.js";
import { RaftNode } from "./consensus/raftNode.js";
import { DiskWatch } from "./membership/diskWatch.js";
import { transferVote } from "./membership/transferVote.js";
import { MembershipStatus } from "./membership/membershipStatus.js";
import { StoreService } from "./store/storeService.js";

/**
 * A control node: a member or standby of the metadata store, server of the operators' HTTP API, and storage node for
 * topic logs, either a regular one (setting `stores`) or a spare.
 */
export class ControlNode {
  readonly node: ClusterNode;
  readonly founding: Founding;
  readonly storage: StorageNode;
  readonly #disk: Disk;
  readonly #diskWatch: DiskWatch;
  #raft: RaftNode | undefined;
  #storeService: StoreService | undefined;

  constructor(node: ClusterNode, disk: Disk, router: Router) {
    this.node = node;
    this.#disk = disk;
    this.#diskWatch = new DiskWatch(node.membership);
    this.founding = new Founding(node, disk);
    this.storage = new StorageNode(node, disk, !node.parts.settings.stores);
    this.founding.on("founded", () => this.#startRaft());
    router.on("PUT", /^\/v1\/plan$/, (call) => proposeConfiguration(node, call.body));
    router.on("GET", /^\/v1\/plan$/, async () => {
      const read = await readConfiguration(node);
      if (read.outcome === "done") return ApiReplies.done(read.document);
      if (read.outcome === "none") return ApiReplies.fault(404, "no-plan", "no configuration was ever accepted");
      return ApiReplies.unavailable("no majority of the control nodes answers");
    });
    const drainPath = /^\/v1\/machines\/([^/]+)\/emptying$/;
    router.on("PUT", drainPath, (call) => DrainMachine.requestDrain(node, call.params[0]!));
    router.on("DELETE", drainPath, (call) => DrainMachine.withdrawDrain(node, call.params[0]!));
    router.on("GET", drainPath, (call) => DrainMachine.progress(node, call.params[0]!));
    router.on("GET", /^\/v1\/plan\/rollout$/, () => getRollout(node));
  }

  /** Undefined until the store is founded or this node has joined it. */
  get raft(): RaftNode | undefined {
    return this.#raft;
  }

  /** Loads the data folder; returns an error message if the folder can't be used. */
  load(): string | undefined {
    return (
      new ReplicaLog(this.#disk, logGroupNames.store).findDamage() ?? this.founding.diskFault() ?? this.storage.load()
    );
  }

  /** Starts the storage, then starts to found the store or join it. */
  async start(): Promise<void> {
    await this.storage.start();
    await this.founding.start();
  }

  /** Shuts down gracefully: stops the storage, steps down as leader, transfers the vote and closes the feeds. */
  async stop(): Promise<void> {
    const { membership } = this.node;
    membership.self.isLeaving = true;
    membership.gossipNow();
    await this.storage.stop();
    this.#raft?.resign();
    if (membership.self.isInStore) await transferVote(this.node);
    this.#storeService?.closeFeeds("the process is stopping");
  }

  /** Whether this node isn't a member because the store has enough; it becomes one when a member is lost. */
  get isStandby(): boolean {
    return this.#raft === undefined ? this.founding.isStandby : !this.node.membership.self.isInStore;
  }

  /** Whether this node serves requests: it is a standby or in touch with the store, and its feed is fresh. */
  get isReady(): boolean {
    const isInStoreOrStandby = this.#raft?.isInTouch === true || this.isStandby;
    return isInStoreOrStandby && this.node.feed.isFresh;
  }

  /** This node's part of the program's status. */
  status(): object {
    const raft = this.#raft;
    const members = raft?.members;
    return {
      storeCalls: this.#storeService?.callTimes ?? {},
      founding: { id: this.founding.diskId, founded: this.founding.foundingId, missing: this.founding.waitingFor },
      raft:
        raft === undefined
          ? null
          : {
              term: raft.term,
              commit: raft.commitIndex,
              isLeader: raft.isLeader,
              leader: raft.leaderName,
              isInTouch: raft.isInTouch,
              voters: members!.voters.map((member) => member.name),
              learners: members!.learners.map((member) => member.name),
            },
      storage: this.storage.status(),
    };
  }

  #raftFields(): Record<string, string | number> {
    const { term = 0, leaderName = "", commitIndex: commit = 0 } = this.#raft ?? {};
    return { term, leader: leaderName, commit };
  }

  #startRaft(): void {
    const { rpc, groups, membership, parts } = this.node;
    const log = new ReplicaLog(this.#disk, logGroupNames.store);
    this.#raft = new RaftNode({
      id: this.founding.diskId,
      founding: this.founding.foundingId,
      log,
      rpc,
      groups,
      electionMs: parts.settings.electionMs,
      clock: parts.clock,
      random: parts.random,
      logBuffer: parts.log,
      invariants: this.node.invariants,
      isTrusted: (id) => this.#diskWatch.isTrusted(id),
    });
    this.#storeService = new StoreService(this.node, this.#raft);
    this.node.load.add("raft", () => ({ fields: this.#raftFields(), isNotable: false }));
    membership.self.isFounded = true;
    membership.self.founding = this.founding.foundingId;
    new MembershipStatus(this.node, this.#raft);
    membership.gossipNow();
  }
}
