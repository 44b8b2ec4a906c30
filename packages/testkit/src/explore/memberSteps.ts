import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ActionKind } from "./action.js";
import type { Coverage } from "./coverage.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";
import { MemberSets } from "./memberSets.js";
import type { Observer } from "./observer.js";

/**
 * Changes of members, asked of a leader one step at a time, and which disks may be lost.
 * The rules are those of the code that changes members in production: a joining replica learns before it votes, one
 * change
 * at a time, and voters are taken out or exchanged only where a majority of the new set is there. A leader may leave.
 */
export class MemberSteps {
  readonly #machines: readonly ModelMachine[];
  readonly #observer: Observer;
  readonly #coverage: Coverage;
  readonly #wanted: number;
  /** Disk identities that are to leave, each with the reason. */
  readonly #leaving = new Map<string, "replace" | "drain">();

  constructor(machines: readonly ModelMachine[], observer: Observer, coverage: Coverage, wanted: number) {
    this.#machines = machines;
    this.#observer = observer;
    this.#coverage = coverage;
    this.#wanted = wanted;
  }

  isEnabled(kind: ActionKind, { raft, name }: ModelMember, { diskId, name: other }: ModelMachine): boolean {
    if (!raft.isLeader) return false;
    const { voters, learners } = raft.members;
    const isMember = [...voters, ...learners].some((one) => one.id === diskId);
    switch (kind) {
      case "addLearner":
        return !isMember && learners.length === 0;
      case "promote":
        return learners.some((one) => one.id === diskId) && raft.progressOf(diskId).match > 0;
      case "removeVoter": {
        const rest = voters.filter((one) => one.name !== other);
        const isMeant = other !== name && rest.length > 1 && rest.length < voters.length;
        return isMeant && MemberSteps.#isMajority(this.#machines, rest);
      }
      case "removeLearner":
        return learners.some((one) => one.name === other);
      case "replace":
        return voters.some((one) => one.name === other && one.id !== diskId && !this.#leaving.has(one.id));
      case "drain":
        return voters.some((one) => one.id === diskId && !this.#leaving.has(one.id));
      case "tend":
        return this.#next(raft) !== undefined;
      default:
        return false;
    }
  }

  take(kind: ActionKind, { raft }: ModelMember, { diskId, name }: ModelMachine): void {
    const { voters, learners } = raft.members;
    const other = { id: diskId, name } as StoreMember;
    switch (kind) {
      case "addLearner":
        return raft.changeMembers(voters, [...learners, other]);
      case "promote":
        return raft.changeMembers([...voters, other], MemberSteps.#without(learners, diskId));
      case "removeVoter":
        return raft.changeMembers(
          voters.filter((one) => one.name !== name),
          learners,
        );
      case "removeLearner":
        return raft.changeMembers(
          voters,
          learners.filter((one) => one.name !== name),
        );
      case "replace":
        return void this.#leaving.set(voters.find((one) => one.name === name)!.id, "replace");
      case "drain":
        return void this.#leaving.set(diskId, "drain");
      default:
        return this.#next(raft)?.();
    }
  }

  /**
   * Whether a disk may be lost: with it, and those that were lost and are still named as voters or learners, a
   * majority of every set that matters is left.
   */
  mayLose(machine: ModelMachine): boolean {
    const left = new Set(this.#machines.filter((one) => one !== machine).map((one) => one.diskId));
    const members = [...this.#observer.relevantMembers(), ...this.#observer.laterMembers()];
    return members.every((one) =>
      MemberSets.of(one).every((voters) => {
        const named = new Set([...voters, ...one.learners].map(({ id }) => id));
        const lost = [...named].filter((id) => !left.has(id));
        return lost.length * 2 < voters.length;
      }),
    );
  }

  text(): string {
    return [...this.#leaving].join(";");
  }

  /** What the change under way needs next: a learner, or to take it in the place of who leaves, in one exchange. */
  #next(raft: ModelMember["raft"]): (() => void) | undefined {
    const { voters, learners } = raft.members;
    const out = voters.find((one) => this.#leaving.has(one.id));
    if (out === undefined || !raft.hasStableMembers) return undefined;
    const rest = MemberSteps.#without(voters, out.id);
    const ready = learners.find((one) => raft.progressOf(one.id).match > 0);
    const next = voters.length > this.#wanted || ready === undefined ? rest : [...rest, ready];
    if (next.length >= this.#wanted && MemberSteps.#isMajority(this.#machines, next)) {
      return () => {
        this.#coverage.count(`event: ${this.#leaving.get(out.id)} begun`);
        raft.changeMembers(
          next,
          learners.filter((one) => !next.includes(one)),
        );
      };
    }
    const spare = this.#machines.find((one) => !voters.some(({ id: voter }) => voter === one.diskId));
    if (spare === undefined || learners.length > 0) return undefined;
    return () => raft.changeMembers(voters, [{ id: spare.diskId, name: spare.name } as StoreMember]);
  }

  /** Whether most of these voters' disks are there. */
  static #isMajority(machines: readonly ModelMachine[], voters: readonly StoreMember[]): boolean {
    const ids = new Set(machines.map((one) => one.diskId));
    return voters.filter((one) => ids.has(one.id)).length * 2 > voters.length;
  }

  static #without(list: StoreMember[], id: string): StoreMember[] {
    return list.filter((one) => one.id !== id);
  }
}
