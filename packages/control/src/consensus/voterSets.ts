import type { Members, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/**
 * The sets of voters of a configuration. A joint configuration, used while the voters change, has the old and the new
 * set, and a decision needs a majority of each (Ongaro and Ousterhout, Raft, section 6: joint consensus).
 */
export const VoterSets = {
  /** The set of voters or, in a joint configuration, the old and the new set. */
  of(members: Members): StoreMember[][] {
    return VoterSets.isJoint(members) ? [members.oldVoters, members.voters] : [members.voters];
  },

  /** Whether the configuration is a joint one. */
  isJoint(members: Members): boolean {
    return members.oldVoters.length > 0;
  },

  /** The voters of all sets without duplicates. */
  allVoters(members: Members): StoreMember[] {
    const byId = new Map(VoterSets.of(members).flatMap((set) => set.map((member) => [member.id, member] as const)));
    return [...byId.values()];
  },

  /** Disk ids of the voters of all sets without duplicates. */
  allVoterIds(members: Members): string[] {
    return VoterSets.allVoters(members).map((member) => member.id);
  },

  /** Disk ids of the voters of each set. */
  idSets(members: Members): string[][] {
    return VoterSets.of(members).map((set) => set.map((member) => member.id));
  },

  /** Machine names of all voters and learners by disk id. */
  namesById(members: Members): Map<string, string> {
    return new Map([...VoterSets.allVoters(members), ...members.learners].map((member) => [member.id, member.name]));
  },

  /** Disk ids of the learners. */
  learnerIds(members: Members): string[] {
    return members.learners.map((member) => member.id);
  },

  /** Whether the disk id is that of a voter of any set. */
  isVoter(members: Members, id: string): boolean {
    return VoterSets.allVoters(members).some((member) => member.id === id);
  },

  /** Whether the disk ids include a majority of every set. */
  isMajority(members: Members, ids: ReadonlySet<string>): boolean {
    return VoterSets.of(members).every((set) => set.filter((member) => ids.has(member.id)).length * 2 > set.length);
  },

  /** Whether the set isn't empty and has no disk and no machine more than once, so that none counts twice. */
  isValidSet(voters: readonly StoreMember[]): boolean {
    const areUnique = (values: string[]): boolean => new Set(values).size === values.length;
    return (
      voters.length > 0 &&
      areUnique(voters.map((member) => member.id)) &&
      areUnique(voters.map((member) => member.name))
    );
  },
};
