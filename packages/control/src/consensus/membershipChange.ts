import { create, toBinary } from "@bufbuild/protobuf";
import { MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { MemberLog } from "./memberLog.js";
import { VoterSets } from "./voterSets.js";

/**
 * Changes the metadata store's members by entries that the leader proposes (joint consensus: Raft, section 6; Ongaro's
 * thesis, section 4.3).
 * Invariants: a change starts only when the current configuration is committed; voters change by way of a joint
 * configuration; once that is committed, the current leader ends it, even if another leader started it; no set has a
 * disk or a machine twice.
 */
export class MembershipChange {
  readonly #memberLog: MemberLog;
  readonly #logBuffer: LogBuffer;
  readonly #propose: (data: Uint8Array) => void;

  constructor(memberLog: MemberLog, logBuffer: LogBuffer, propose: (data: Uint8Array) => void) {
    this.#memberLog = memberLog;
    this.#logBuffer = logBuffer;
    this.#propose = propose;
  }

  /** Whether the current configuration is committed and isn't a joint one. */
  isStable(commit: number): boolean {
    return this.#memberLog.index <= commit && !VoterSets.isJoint(this.#memberLog.members);
  }

  /**
   * The members whose votes may matter and that may campaign: the voters of the newest configuration and, until that is
   * known to be committed, of the one before it. A voter that is being removed is included because its log may be the
   * only one up to date enough to win (Ongaro's thesis, section 4.2.2); its own vote doesn't count then. May list a
   * member twice.
   */
  electorate(commit: number): StoreMember[] {
    const { members, index } = this.#memberLog;
    const configurations = index <= commit ? [members] : [members, this.#memberLog.membersAt(index - 1)];
    return configurations.flatMap((configuration) => VoterSets.allVoters(configuration));
  }

  /**
   * Proposes new members: directly if only learners change, otherwise by way of a joint configuration. Does nothing if
   * another change is in progress or the set of voters is invalid; the caller tries again later.
   */
  begin(commit: number, voters: StoreMember[], learners: StoreMember[]): void {
    if (!this.isStable(commit) || !VoterSets.isValidSet(voters)) return;
    const currentMembers = this.#memberLog.members;
    const hasSameVoters =
      voters.length === currentMembers.voters.length &&
      voters.every((voter) => VoterSets.isVoter(currentMembers, voter.id));
    this.#proposeMembers(voters, learners, hasSameVoters ? [] : currentMembers.voters);
  }

  /** Proposes the new set of voters alone if the current configuration is joint and committed. */
  leaveJoint(commit: number): void {
    const { members, index } = this.#memberLog;
    if (index <= commit && VoterSets.isJoint(members)) this.#proposeMembers(members.voters, members.learners, []);
  }

  #proposeMembers(voters: StoreMember[], learners: StoreMember[], oldVoters: StoreMember[]): void {
    const namesOf = (list: StoreMember[]): string => list.map((member) => member.name).join();
    const fields = { voters: namesOf(voters), learners: namesOf(learners), before: namesOf(oldVoters) };
    this.#logBuffer.note("members change", fields);
    this.#propose(toBinary(MembersSchema, create(MembersSchema, { voters, learners, oldVoters })));
  }
}
