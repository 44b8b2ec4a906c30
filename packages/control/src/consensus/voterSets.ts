import type { Members, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/**
 * Who votes by a configuration of the store's members: one set, or, while voters are exchanged, the old set and the
 * new one, of which each must agree by itself (Ongaro and Ousterhout, Raft, section 6: joint consensus).
 */
export const VoterSets = {
  of(members: Members): StoreMember[][] {
    return VoterSets.isJoint(members) ? [members.oldVoters, members.voters] : [members.voters];
  },

  isJoint(members: Members): boolean {
    return members.oldVoters.length > 0;
  },

  /** Every voter of any set, once. */
  all(members: Members): StoreMember[] {
    const byId = new Map(VoterSets.of(members).flatMap((set) => set.map((one) => [one.id, one] as const)));
    return [...byId.values()];
  },

  ids(members: Members): string[] {
    return VoterSets.all(members).map((one) => one.id);
  },

  idSets(members: Members): string[][] {
    return VoterSets.of(members).map((set) => set.map((one) => one.id));
  },

  learnerIds(members: Members): string[] {
    return members.learners.map((one) => one.id);
  },

  isVoter(members: Members, id: string): boolean {
    return VoterSets.all(members).some((one) => one.id === id);
  },

  /** Whether the named ones are a majority of every set. */
  isMajority(members: Members, ids: ReadonlySet<string>): boolean {
    return VoterSets.of(members).every((set) => set.filter((one) => ids.has(one.id)).length * 2 > set.length);
  },

  /** Nobody counts twice: neither a disk nor a machine is in a set more than once. */
  isSound(voters: readonly StoreMember[]): boolean {
    const isOnce = (values: string[]): boolean => new Set(values).size === values.length;
    return voters.length > 0 && isOnce(voters.map((one) => one.id)) && isOnce(voters.map((one) => one.name));
  },
};
