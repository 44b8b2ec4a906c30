import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/** What is known of the members when it is decided who votes. */
export interface VoterInputs {
  readonly voters: readonly StoreMember[];
  /** Learners that have caught up and answered just now. */
  readonly ready: readonly StoreMember[];
  readonly wanted: number;
  /** The leader's own identity: it goes only where it has to. */
  readonly self: string;
  isLost(member: StoreMember): boolean;
  isToLeave(member: StoreMember): boolean;
  zoneOf(member: StoreMember): string;
}

/**
 * The voters that there should be, from those that there are. Pure.
 *
 * A voter that is lost or is to leave is exchanged for a caught-up learner in one joint change, {A,B,X} to {A,B,N}.
 * Two single changes need more machines in between: with the joining replica first, {A,B,X,N} has X dead and needs all
 * three
 * others, so that the loss of N stops the store; with the removal first, {A,B} needs both. The joint change needs A and
 * B, just what {A,B,X} needed, and once it is over any one of {A,B,N} may be lost.
 */
export const VoterChoice = {
  next(inputs: VoterInputs): StoreMember[] {
    const { voters, ready, wanted } = inputs;
    const leaving = votersToReplace(inputs);
    const missing = Math.max(0, wanted - voters.length);
    const next = [...voters.filter((member) => !leaving.includes(member)), ...ready.slice(0, leaving.length + missing)];
    while (next.length > Math.max(1, wanted)) next.splice(next.indexOf(surplus(inputs, next)), 1);
    return next;
  },

  /** Voters that another should take the place of: first whose disk or machine is gone, then who is to leave. */
  unfit({ voters, isLost, isToLeave }: Pick<VoterInputs, "voters" | "isLost" | "isToLeave">): StoreMember[] {
    const lost = voters.filter((member) => isLost(member));
    return [...lost, ...voters.filter((member) => !lost.includes(member) && isToLeave(member))];
  },
};

/** Whoever has a ready learner on its own machine first: no machine votes twice. */
function votersToReplace(inputs: VoterInputs): StoreMember[] {
  const { ready } = inputs;
  const unfit = VoterChoice.unfit(inputs);
  const hasReadyLearner = (member: StoreMember): boolean => ready.some((learner) => learner.name === member.name);
  return [...unfit.filter(hasReadyLearner), ...unfit.filter((member) => !hasReadyLearner(member))].slice(
    0,
    ready.length,
  );
}

/** Whoever is lost or leaves goes first; else one whose zone has another voter; the leader last. */
function surplus(inputs: VoterInputs, next: readonly StoreMember[]): StoreMember {
  const zones = next.map((member) => inputs.zoneOf(member));
  const sharesZone = (member: StoreMember): boolean =>
    zones.filter((zone) => zone === inputs.zoneOf(member)).length > 1;
  const others = next.filter((member) => member.id !== inputs.self).reverse();
  const unfit = VoterChoice.unfit({ ...inputs, voters: next });
  return unfit[0] ?? others.find(sharesZone) ?? others[0]!;
}
