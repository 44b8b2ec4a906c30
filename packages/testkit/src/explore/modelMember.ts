import { RaftNode } from "@cranetrack/control/consensus/raftNode.js";
import { MemberChanges } from "@cranetrack/control/membership/memberChanges.js";
import type { CompactionBounds } from "@cranetrack/core/replication/logCompaction.js";
import { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { ClusterNode } from "@cranetrack/core/runtime/clusterNode.js";
import { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { Settings } from "@cranetrack/core/runtime/settings.js";
import { SimRandom } from "../sim/simRandom.js";
import { ModelClock } from "./modelClock.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelNetwork } from "./modelNetwork.js";

/** Small bounds, so that short runs reach states that take long in production. All times are in milliseconds. */
export const modelBounds = {
  /** Below one heartbeat interval: one or two ticks without a message from the leader are an election timeout. */
  electionMs: 60,
  /** A voter that is silent for longer is replaced, if members are maintained automatically (`isTended`). */
  replaceVoterMs: 200,
  /** Applied entries after which a log is compacted. */
  compactAt: 3,
  /** Timeout of a call. */
  callMs: 200,
  /** How far a clock advances while its process is frozen. */
  frozenMs: 1000,
} as const;

/** One process on a machine: the production classes on top of the model's clock, disk and network. */
export class ModelMember {
  static readonly founding = "founding";

  readonly name: string;
  readonly id: string;
  readonly incarnation: number;
  readonly clock = new ModelClock();
  readonly log: ReplicaLog;
  readonly raft: RaftNode;
  readonly endpoint: RpcEndpoint;
  /** The production code that maintains the membership on the leader; undefined where actions change members. */
  readonly changes: MemberChanges | undefined;
  isUp = true;
  isFrozen = false;

  constructor(
    machine: ModelMachine,
    network: ModelNetwork,
    incarnation: number,
    maintenance: { voters: number } | undefined,
  ) {
    this.name = machine.name;
    this.id = machine.diskId;
    this.incarnation = incarnation;
    const isUp = (): boolean => this.isUp;
    const node = new ClusterNode(
      {
        settings: ModelMember.#settings(machine, maintenance?.voters ?? 1),
        clock: this.clock,
        transport: network.attach(this.name, isUp),
        disk: undefined,
        random: new SimRandom(machine.index * 1000 + incarnation),
        log: new LogBuffer(this.name, () => undefined),
        incarnation,
      },
      [],
    );
    this.log = new ReplicaLog(machine.disk.mount(isUp), "store");
    this.endpoint = node.rpc;
    // Gossip is not part of the model: every process knows every address, and none relays frames for others.
    this.endpoint.addressOf = (name) => name;
    this.endpoint.relaysFor = () => [];
    this.raft = new RaftNode({
      id: this.id,
      founding: ModelMember.founding,
      log: this.log,
      rpc: this.endpoint,
      groups: node.groups,
      electionMs: modelBounds.electionMs,
      clock: this.clock,
      random: node.parts.random,
      logBuffer: node.parts.log,
      compaction: ModelMember.#compaction(machine),
      isTrusted: () => true,
    });
    if (maintenance !== undefined) this.changes = new MemberChanges(node, this.raft);
  }

  get isRunning(): boolean {
    return this.isUp && !this.isFrozen;
  }

  /** Whether the process acts as leader of its term, whether or not an entry of this term is committed yet. */
  get isActingLeader(): boolean {
    return this.isUp && this.raft.leaderName === this.name;
  }

  /** Machines with odd indexes keep one entry before the end of their snapshots, the others none. */
  static #compaction({ index }: ModelMachine): CompactionBounds {
    return { entries: modelBounds.compactAt, bytes: 1e6, kept: { entries: index % 2, bytes: 1e6 } };
  }

  static #settings({ name }: ModelMachine, voters: number): Settings {
    return {
      name,
      role: "lathe",
      zone: "zone",
      address: `${name}:1`,
      seeds: [],
      mayFound: true,
      controlNodes: voters,
      voters,
      replaceVoterMs: modelBounds.replaceVoterMs,
      replicas: 3,
      replaceReplicaMs: modelBounds.replaceVoterMs,
      replaceByNewcomerMs: modelBounds.replaceVoterMs,
      stores: false,
      shards: 1,
      edgeLeaseMs: 1500,
      shardLeaseMs: 1500,
      electionMs: modelBounds.electionMs,
      redeliveryMs: 0,
      maxConnections: 1,
      bufferBytes: 1024,
    };
  }
}
