import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ActionKind } from "./action.js";
import type { Coverage } from "./coverage.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";
import { MemberSets } from "./memberSets.js";
import type { Observer } from "./observer.js";

/**
 * Membership changes, requested from a leader one step at a time, and the rule about which disks may be lost.
 * The rules are those of the production code: a joining replica is a learner before it votes, there is one change at a
 * time, and voters are removed or replaced only if a majority of the new set has its disks. A leader may be removed.
 */
export class MemberSteps {
  readonly #machines: readonly ModelMachine[];
  readonly #observer: Observer;
  readonly #coverage: Coverage;
  readonly #voterTarget: number;
  /** Voters to be removed, by disk identity, with the reason. */
  readonly #leaving = new Map<string, "replace" | "drain">();

  constructor(machines: readonly ModelMachine[], observer: Observer, coverage: Coverage, voterTarget: number) {
    this.#machines = machines;
    this.#observer = observer;
    this.#coverage = coverage;
    this.#voterTarget = voterTarget;
  }

  isEnabled(kind: ActionKind, { raft, name }: ModelMember, { diskId, name: other }: ModelMachine): boolean {
    if (!raft.isLeader) return false;
    const { voters, learners } = raft.members;
    const isMember = [...voters, ...learners].some((member) => member.id === diskId);
    switch (kind) {
      case "addLearner":
        return !isMember && learners.length === 0;
      case "promote":
        return learners.some((member) => member.id === diskId) && raft.progressOf(diskId).matchIndex > 0;
      case "removeVoter": {
        const rest = voters.filter((member) => member.name !== other);
        const isRemovable = other !== name && rest.length > 1 && rest.length < voters.length;
        return isRemovable && MemberSteps.#hasMajorityOfDisks(this.#machines, rest);
      }
      case "removeLearner":
        return learners.some((member) => member.name === other);
      case "replace":
        return voters.some((member) => member.name === other && member.id !== diskId && !this.#leaving.has(member.id));
      case "drain":
        return voters.some((member) => member.id === diskId && !this.#leaving.has(member.id));
      case "tend":
        return this.#nextChange(raft) !== undefined;
      default:
        return false;
    }
  }

  perform(kind: ActionKind, { raft }: ModelMember, { diskId, name }: ModelMachine): void {
    const { voters, learners } = raft.members;
    const other = { id: diskId, name } as StoreMember;
    switch (kind) {
      case "addLearner":
        return raft.changeMembers(voters, [...learners, other]);
      case "promote":
        return raft.changeMembers([...voters, other], MemberSteps.#without(learners, diskId));
      case "removeVoter":
        return raft.changeMembers(
          voters.filter((member) => member.name !== name),
          learners,
        );
      case "removeLearner":
        return raft.changeMembers(
          voters,
          learners.filter((member) => member.name !== name),
        );
      case "replace":
        return void this.#leaving.set(voters.find((member) => member.name === name)!.id, "replace");
      case "drain":
        return void this.#leaving.set(diskId, "drain");
      default:
        return this.#nextChange(raft)?.();
    }
  }

  /**
   * Whether a disk may be lost: in every membership that may be in force, the lost disks (this one included) that are
   * still named as voters or learners must be fewer than half of each voter set.
   */
  mayLoseDisk(machine: ModelMachine): boolean {
    const left = new Set(this.#machines.filter((other) => other !== machine).map((other) => other.diskId));
    const members = [...this.#observer.relevantMembers(), ...this.#observer.uncommittedMembers()];
    return members.every((membership) =>
      MemberSets.of(membership).every((voters) => {
        const named = new Set([...voters, ...membership.learners].map(({ id }) => id));
        const lost = [...named].filter((id) => !left.has(id));
        return lost.length * 2 < voters.length;
      }),
    );
  }

  text(): string {
    return [...this.#leaving].join(";");
  }

  /**
   * The next step for a voter that is to be removed: add a learner, or exchange the voter for a learner that is ready.
   * Undefined if there is nothing to do now.
   */
  #nextChange(raft: ModelMember["raft"]): (() => void) | undefined {
    const { voters, learners } = raft.members;
    const leaving = voters.find((member) => this.#leaving.has(member.id));
    if (leaving === undefined || !raft.hasStableMembers) return undefined;
    const remaining = MemberSteps.#without(voters, leaving.id);
    const ready = learners.find((member) => raft.progressOf(member.id).matchIndex > 0);
    const next = voters.length > this.#voterTarget || ready === undefined ? remaining : [...remaining, ready];
    if (next.length >= this.#voterTarget && MemberSteps.#hasMajorityOfDisks(this.#machines, next)) {
      return () => {
        this.#coverage.count(`event: ${this.#leaving.get(leaving.id)} begun`);
        raft.changeMembers(
          next,
          learners.filter((member) => !next.includes(member)),
        );
      };
    }
    const spare = this.#machines.find((machine) => !voters.some(({ id: voter }) => voter === machine.diskId));
    if (spare === undefined || learners.length > 0) return undefined;
    return () => raft.changeMembers(voters, [{ id: spare.diskId, name: spare.name } as StoreMember]);
  }

  /** Whether a majority of these voters still has its disk. */
  static #hasMajorityOfDisks(machines: readonly ModelMachine[], voters: readonly StoreMember[]): boolean {
    const ids = new Set(machines.map((machine) => machine.diskId));
    return voters.filter((member) => ids.has(member.id)).length * 2 > voters.length;
  }

  static #without(list: StoreMember[], id: string): StoreMember[] {
    return list.filter((member) => member.id !== id);
  }
}
