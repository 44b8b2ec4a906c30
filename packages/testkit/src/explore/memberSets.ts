import { VoterSets } from "@cranetrack/control/consensus/voterSets.js";
import type { Members, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/** The sets of voters that a configuration of members names, of which each must agree by itself. */
export const MemberSets = {
  of(members: Members): StoreMember[][] {
    return VoterSets.of(members);
  },

  text(members: Members | undefined): string {
    if (members === undefined) return "voters none, learners none";
    const ids = (list: readonly StoreMember[]): string => list.map((one) => one.id).join("+") || "none";
    return `voters ${MemberSets.of(members).map(ids).join(" and ")}, learners ${ids(members.learners)}`;
  },
};
