/** State that a member of the metadata store has only while it leads (progress tracking in etcd's raft). */
import type { Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { VoterSets } from "./voterSets.js";

/** What a leader needs for one term. */
export interface LeadershipOptions {
  readonly selfId: string;
  readonly log: ReplicaLog;
  readonly clock: Clock;
  readonly rpc: RpcEndpoint;
  /** The leader's commit index when it was elected. */
  readonly commit: number;
  /** Returns the current members; called for every message, as the newest entry may have added the receiver. */
  readonly members: () => Members;
}

/** A member's replication progress, as known to the leader. */
export interface MemberProgress {
  /** Index of the last entry that is known to be on the member's disk. */
  readonly matchIndex: number;
  /** How many of the leader's entries the member lacks; `Infinity` if this node doesn't lead. */
  readonly entriesBehind: number;
  /** Milliseconds since the member's last answer; `Infinity` if this node doesn't lead. */
  readonly sinceHeardMs: number;
}

/** One term of this member as leader, from its election until it steps down. */
export class Leadership {
  /** The progress of every member as far as a node knows that doesn't lead. */
  static readonly unknownProgress: MemberProgress = { matchIndex: 0, entriesBehind: Infinity, sinceHeardMs: Infinity };

  /** Sends the log to the other members and determines what is committed. */
  readonly replicator: LogReplicator;
  /**
   * Index of the no-op entry that starts the term. Once it is committed, the leader knows every entry that was
   * committed before (Raft, section 8) and may serve requests.
   */
  readonly noopIndex: number;
  readonly #log: ReplicaLog;

  constructor({ selfId, log, clock, rpc, commit, members }: LeadershipOptions) {
    this.#log = log;
    this.noopIndex = log.lastIndex + 1;
    this.replicator = new LogReplicator({
      log,
      clock,
      self: selfId,
      term: log.term,
      commit,
      send: (id, body) => rpc.send(VoterSets.namesById(members()).get(id) ?? "", body),
    });
  }

  /** Sets the members to replicate to; a commit needs a majority of each set of voters. */
  setMembers(members: Members): void {
    this.replicator.setMembers(VoterSets.idSets(members), VoterSets.learnerIds(members));
  }

  /** A member's replication progress, by which the leader decides when to make it a voter. */
  progressOf(id: string): MemberProgress {
    const match = this.replicator.matchOf(id);
    return {
      matchIndex: match,
      entriesBehind: this.#log.lastIndex - match,
      sinceHeardMs: this.replicator.sinceContactMs(id),
    };
  }
}
