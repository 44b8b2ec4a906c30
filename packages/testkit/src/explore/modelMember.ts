import { RaftNode } from "@cranetrack/control/consensus/raftNode.js";
import { LogGroups } from "@cranetrack/core/replication/logGroups.js";
import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import { ModelClock } from "./modelClock.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelNetwork } from "./modelNetwork.js";

/** Small bounds, so that short runs reach what takes production long. */
export const modelBounds = {
  /** Below one heartbeat interval: one tick without a word from the leader is an election timeout. */
  electionMs: 60,
  /** Applied entries after which a log is compacted. */
  compactAt: 3,
  callMs: 200,
  /** How far a clock goes while its process is frozen. */
  frozenMs: 1000,
} as const;

/** One process's life on a machine: the production classes over the model's clock, disk and network. */
export class ModelMember {
  static readonly founding = "founding";

  readonly name: string;
  readonly id: string;
  readonly life: number;
  readonly clock = new ModelClock();
  readonly log: ReplicaLog;
  readonly raft: RaftNode;
  readonly endpoint: RpcEndpoint;
  isUp = true;
  isFrozen = false;

  constructor(machine: ModelMachine, network: ModelNetwork, life: number) {
    this.name = machine.name;
    this.id = machine.diskId;
    this.life = life;
    const isUp = (): boolean => this.isUp;
    this.log = new ReplicaLog(machine.disk.mount(isUp), "store");
    this.endpoint = new RpcEndpoint(this.name, network.attach(this.name, isUp), this.clock);
    this.endpoint.addressOf = (name) => name;
    this.raft = new RaftNode({
      id: this.id,
      founding: ModelMember.founding,
      log: this.log,
      exchange: this.endpoint,
      groups: new LogGroups(this.endpoint),
      electionMs: modelBounds.electionMs,
      clock: this.clock,
      chance: { draw: () => 0, identity: () => this.id },
      ring: new LogBuffer(this.name, () => undefined),
      compaction: ModelMember.#compaction(machine),
    });
  }

  /** Every other machine keeps an entry in front of its snapshots' ends. */
  static #compaction({ place }: ModelMachine): CompactionBounds {
    return { entries: modelBounds.compactAt, bytes: 1e6, kept: { entries: place % 2, bytes: 1e6 } };
  }

  get isRunning(): boolean {
    return this.isUp && !this.isFrozen;
  }

  /** Whether it acts as the leader of its term, with or without an entry of this term committed. */
  get isActingLeader(): boolean {
    return this.isUp && this.raft.leaderName === this.name;
  }
}
