import { create, toBinary } from "@bufbuild/protobuf";
import { MembersSchema, type StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { LogBuffer } from "@cranetrack/core/runtime/logBuffer.js";
import type { MemberLog } from "./memberLog.js";
import { VoterSets } from "./voterSets.js";

/**
 * Changes of the metadata store's members by its leader's proposals, by joint consensus (Raft, section 6; thesis, 4.3).
 * Invariants: a change begins only where the members in force are committed; other voters come by a joint
 * configuration, which any leader ends once it is committed; nobody is in a set twice.
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

  /** Whether the members in force are committed, and no change of voters is under way. */
  isStable(commit: number): boolean {
    return this.#memberLog.index <= commit && !VoterSets.isJoint(this.#memberLog.members);
  }

  /**
   * Whose votes matter: by the newest configuration and, as long as that is not known to be committed, by the one
   * before. Each of them may ask for votes: one that leaves, too, as only its log may have the newest configuration
   * (Ongaro's thesis, section 4.2.2). It doesn't count itself then.
   */
  electorate(commit: number): StoreMember[] {
    const { members, index } = this.#memberLog;
    const all = index <= commit ? [members] : [members, this.#memberLog.membersAt(index - 1)];
    return all.flatMap((configuration) => VoterSets.all(configuration));
  }

  /**
   * Proposes other members, where none are under way and nobody is in a set twice: learners at once, other voters by
   * way of a joint configuration. Otherwise it does nothing, and the caller asks again later.
   */
  begin(commit: number, voters: StoreMember[], learners: StoreMember[]): void {
    if (!this.isStable(commit) || !VoterSets.isSound(voters)) return;
    const before = this.#memberLog.members;
    const isSame =
      voters.length === before.voters.length && voters.every((voter) => VoterSets.isVoter(before, voter.id));
    this.#write(voters, learners, isSame ? [] : before.voters);
  }

  /** Once a joint configuration is committed, its new set goes on alone. */
  leaveJoint(commit: number): void {
    const { members, index } = this.#memberLog;
    if (index <= commit && VoterSets.isJoint(members)) this.#write(members.voters, members.learners, []);
  }

  #write(voters: StoreMember[], learners: StoreMember[], oldVoters: StoreMember[]): void {
    const namesOf = (list: StoreMember[]): string => list.map((member) => member.name).join();
    const note = { voters: namesOf(voters), learners: namesOf(learners), before: namesOf(oldVoters) };
    this.#logBuffer.note("members change", note);
    this.#propose(toBinary(MembersSchema, create(MembersSchema, { voters, learners, oldVoters })));
  }
}
