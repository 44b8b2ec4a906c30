import type { Vote } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ReplicaLog } from "@cranetrack/core/replication/replicaLog.js";

/** Whether a vote may be given, by Raft's rules: to a log at least as new, once a term, and to nobody while led. */
export function judgeVote(vote: Vote, log: ReplicaLog, isLed: boolean): boolean {
  const isCurrent = vote.lastTerm > log.lastTerm || (vote.lastTerm === log.lastTerm && vote.lastIndex >= log.lastIndex);
  if (!isCurrent || isLed) return false;
  if (vote.term > log.term) return true;
  return !vote.isPre && vote.term === log.term && (log.vote === "" || log.vote === vote.candidate);
}
