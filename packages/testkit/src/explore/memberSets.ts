import { VoterSets } from "@cranetrack/control/consensus/voterSets.js";
import type { Members, StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";

/** The voter sets of a membership: one, or two during a joint change, each of which needs a majority of its own. */
export const MemberSets = {
  of(members: Members): StoreMember[][] {
    return VoterSets.of(members);
  },

  /** The membership as text, for messages and comparisons. */
  text(members: Members | undefined): string {
    if (members === undefined) return "voters none, learners none";
    const ids = (list: readonly StoreMember[]): string => list.map((member) => member.id).join("+") || "none";
    return `voters ${MemberSets.of(members).map(ids).join(" and ")}, learners ${ids(members.learners)}`;
  },
};
