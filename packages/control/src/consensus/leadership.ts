/** What a member of the metadata store has only while it leads: etcd's raft calls it the leader's progress tracking. */
import type { Members } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";
import { LogReplicator } from "@cranetrack/core/replication/logReplicator.js";
import type { Clock } from "@cranetrack/core/runtime/clock.js";
import type { RpcEndpoint } from "@cranetrack/core/rpc/rpcEndpoint.js";
import { VoterSets } from "./voterSets.js";

/** What one term's leadership works with. */
export interface LeadershipParts {
  readonly selfId: string;
  readonly log: ReplicaLog;
  readonly clock: Clock;
  readonly rpc: RpcEndpoint;
  /** The leader's commit index when it was elected. */
  readonly commit: number;
  /** The members in force, asked again for every message: an address may have come with the newest entry. */
  readonly members: () => Members;
}

/** How far one member has come, as its leader knows. */
export interface MemberProgress {
  /** The last entry known to be on its disk. */
  readonly match: number;
  /** How many entries it lacks; `Infinity` where this node doesn't lead. */
  readonly behind: number;
  /** Milliseconds since its last answer; `Infinity` where this node doesn't lead. */
  readonly heardAgo: number;
}

/** One term of this member as leader, from its election until it steps down. */
export class Leadership {
  /** Where this node doesn't lead, it knows nothing of others. */
  static readonly unknownProgress: MemberProgress = { match: 0, behind: Infinity, heardAgo: Infinity };

  readonly replicator: LogReplicator;
  /**
   * The term's first entry. Once it is committed, the leader knows all that was committed before it (Raft, section 8)
   * and may serve.
   */
  readonly noopIndex: number;
  readonly #log: ReplicaLog;

  constructor({ selfId, log, clock, rpc, commit, members }: LeadershipParts) {
    this.#log = log;
    this.noopIndex = log.lastIndex + 1;
    this.replicator = new LogReplicator({
      log,
      clock,
      self: selfId,
      term: log.term,
      commit,
      send: (id, body) => rpc.send(VoterSets.names(members()).get(id) ?? "", body),
    });
  }

  /** Replicates to these members from now on; commits need a majority of each set of voters. */
  setMembers(members: Members): void {
    this.replicator.setMembers(VoterSets.idSets(members), VoterSets.learnerIds(members));
  }

  /** What the leader knows of one member, for whoever decides when it is a voter. */
  progressOf(id: string): MemberProgress {
    const match = this.replicator.matchOf(id);
    return { match, behind: this.#log.lastIndex - match, heardAgo: this.replicator.sinceContactMs(id) };
  }
}
