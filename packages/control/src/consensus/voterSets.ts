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
    const byId = new Map(VoterSets.of(members).flatMap((set) => set.map((member) => [member.id, member] as const)));
    return [...byId.values()];
  },

  ids(members: Members): string[] {
    return VoterSets.all(members).map((member) => member.id);
  },

  idSets(members: Members): string[][] {
    return VoterSets.of(members).map((set) => set.map((member) => member.id));
  },

  /** The machine's name for each disk, of voters and learners. */
  names(members: Members): Map<string, string> {
    return new Map([...VoterSets.all(members), ...members.learners].map((member) => [member.id, member.name]));
  },

  learnerIds(members: Members): string[] {
    return members.learners.map((member) => member.id);
  },

  isVoter(members: Members, id: string): boolean {
    return VoterSets.all(members).some((member) => member.id === id);
  },

  /** Whether the named ones are a majority of every set. */
  isMajority(members: Members, ids: ReadonlySet<string>): boolean {
    return VoterSets.of(members).every((set) => set.filter((member) => ids.has(member.id)).length * 2 > set.length);
  },

  /** Nobody counts twice: neither a disk nor a machine is in a set more than once. */
  isSound(voters: readonly StoreMember[]): boolean {
    const isOnce = (values: string[]): boolean => new Set(values).size === values.length;
    return (
      voters.length > 0 && isOnce(voters.map((member) => member.id)) && isOnce(voters.map((member) => member.name))
    );
  },
};
