import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import { Rendezvous, RendezvousKeys } from "@cranetrack/core/membership/rendezvous.js";

/** Input for the choice of voters. */
export interface VoterInputs {
  readonly voters: readonly StoreMember[];
  /** Learners that have caught up and have answered recently. */
  readonly readyLearners: readonly StoreMember[];
  /** The configured number of voters. */
  readonly wantedCount: number;
  /** Disk id of the leader, which is removed only if there is no other choice. */
  readonly selfId: string;
  /** Whether the member's disk or machine is considered lost. */
  isLost(member: StoreMember): boolean;
  /** Whether the member's process is stopping or its machine is being drained. */
  isLeaving(member: StoreMember): boolean;
  zoneOf(member: StoreMember): string;
}

/**
 * Computes the next set of voters from the current one. Pure function.
 *
 * A voter that is lost or leaving is replaced by a caught-up learner in one joint change, from {A,B,X} to {A,B,N}. Two
 * single changes would need more live machines in between: if N is added first, {A,B,X,N} with X lost needs all of A, B
 * and N, so that the loss of N stops the store; if X is removed first, {A,B} needs both. The joint change needs A and
 * B, as {A,B,X} did, and afterwards any one of A, B and N may be lost.
 */
export function chooseVoters(inputs: VoterInputs): StoreMember[] {
  const { voters, readyLearners, wantedCount } = inputs;
  const votersToRemove = votersToReplace(inputs);
  const missing = Math.max(0, wantedCount - voters.length);
  const next = [
    ...voters.filter((member) => !votersToRemove.includes(member)),
    ...readyLearners.slice(0, votersToRemove.length + missing),
  ];
  while (next.length > Math.max(1, wantedCount)) next.splice(next.indexOf(chooseSurplusVoter(inputs, next)), 1);
  return next;
}

/** Voters that should be replaced: first those that are lost, then those that are leaving. */
export function unfitVoters({
  voters,
  isLost,
  isLeaving,
}: Pick<VoterInputs, "voters" | "isLost" | "isLeaving">): StoreMember[] {
  const lost = voters.filter((member) => isLost(member));
  return [...lost, ...voters.filter((member) => !lost.includes(member) && isLeaving(member))];
}

/**
 * Orders control nodes that ask to join by priority: those in zones without a member first, then by rendezvous rank, so
 * that every leader gets the same order.
 */
export function rankCandidates(
  names: readonly string[],
  zones: ReadonlySet<string>,
  zoneOf: (name: string) => string,
): string[] {
  const ranked = Rendezvous.rank(RendezvousKeys.storeVoter, names);
  return [...ranked.filter((name) => !zones.has(zoneOf(name))), ...ranked.filter((name) => zones.has(zoneOf(name)))];
}

/**
 * Voters that ready learners replace. Those whose own machine has a ready learner come first, so that no machine has
 * two votes.
 */
function votersToReplace(inputs: VoterInputs): StoreMember[] {
  const { readyLearners } = inputs;
  const unfit = unfitVoters(inputs);
  const hasReadyLearner = (member: StoreMember): boolean =>
    readyLearners.some((learner) => learner.name === member.name);
  return [...unfit.filter(hasReadyLearner), ...unfit.filter((member) => !hasReadyLearner(member))].slice(
    0,
    readyLearners.length,
  );
}

/** The voter to remove first: a lost or leaving one, else one whose zone has another voter; the leader last. */
function chooseSurplusVoter(inputs: VoterInputs, next: readonly StoreMember[]): StoreMember {
  const zones = next.map((member) => inputs.zoneOf(member));
  const sharesZone = (member: StoreMember): boolean =>
    zones.filter((zone) => zone === inputs.zoneOf(member)).length > 1;
  const others = next.filter((member) => member.id !== inputs.selfId).reverse();
  const unfit = unfitVoters({ ...inputs, voters: next });
  return unfit[0] ?? others.find(sharesZone) ?? others[0]!;
}
