import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/** What is known of the members when it is decided who votes. */
export interface VoterFacts {
  readonly voters: readonly StoreMember[];
  /** Learners that have caught up and answered just now. */
  readonly ready: readonly StoreMember[];
  readonly wanted: number;
  /** The leader's own identity: it goes only where it has to. */
  readonly self: string;
  isLost(one: StoreMember): boolean;
  isToLeave(one: StoreMember): boolean;
  zoneOf(one: StoreMember): string;
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
export const VoterPlan = {
  next(facts: VoterFacts): StoreMember[] {
    const { voters, ready, wanted } = facts;
    const out = replaced(facts);
    const room = Math.max(0, wanted - voters.length);
    const next = [...voters.filter((one) => !out.includes(one)), ...ready.slice(0, out.length + room)];
    while (next.length > Math.max(1, wanted)) next.splice(next.indexOf(surplus(facts, next)), 1);
    return next;
  },

  /** Voters that another should take the place of: first whose disk or machine is gone, then who is to leave. */
  unfit({ voters, isLost, isToLeave }: Pick<VoterFacts, "voters" | "isLost" | "isToLeave">): StoreMember[] {
    const lost = voters.filter((one) => isLost(one));
    return [...lost, ...voters.filter((one) => !lost.includes(one) && isToLeave(one))];
  },
};

/** Whoever has a ready learner on its own machine first: no machine votes twice. */
function replaced(facts: VoterFacts): StoreMember[] {
  const { ready } = facts;
  const unfit = VoterPlan.unfit(facts);
  const isBack = (one: StoreMember): boolean => ready.some((learner) => learner.name === one.name);
  return [...unfit.filter(isBack), ...unfit.filter((one) => !isBack(one))].slice(0, ready.length);
}

/** Whoever is lost or leaves goes first; else one whose zone has another voter; the leader last. */
function surplus(facts: VoterFacts, next: readonly StoreMember[]): StoreMember {
  const zones = next.map((one) => facts.zoneOf(one));
  const isDouble = (one: StoreMember): boolean => zones.filter((zone) => zone === facts.zoneOf(one)).length > 1;
  const others = next.filter((one) => one.id !== facts.self).reverse();
  const unfit = VoterPlan.unfit({ ...facts, voters: next });
  return unfit[0] ?? others.find(isDouble) ?? others[0]!;
}
