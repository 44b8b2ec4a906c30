import type { StoreMember } from "@cranetrack/core/gen/cranetrack_pb.js";
import type { ActionKind } from "./action.js";
import type { Coverage } from "./coverage.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";
import { MemberSets } from "./memberSets.js";
import type { Observer } from "./observer.js";

/**
 * Changes of members, asked of a leader one step at a time, and which disks may be lost.
 * The rules are those of the code that changes members in production: a newcomer learns before it votes, one change
 * at a time, a leader never takes itself out, and a voter is taken out only where a majority of the rest is there.
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

  isEnabled(kind: ActionKind, { raft, id, name }: ModelMember, { diskId, name: other }: ModelMachine): boolean {
    if (!raft.isLeader) return false;
    const { voters, learners } = raft.members;
    const isMember = [...voters, ...learners].some((one) => one.id === diskId);
    switch (kind) {
      case "addLearner":
        return !isMember && learners.length === 0;
      case "promote":
        return learners.some((one) => one.id === diskId) && raft.matchOf(diskId).match > 0;
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
        return other !== name && voters.some((one) => one.id === diskId && one.id !== id && !this.#leaving.has(one.id));
      case "tend":
        return this.#next(raft.members.voters, raft.members.learners, id, raft) !== undefined;
      default:
        return false;
    }
  }

  take(kind: ActionKind, { raft, id }: ModelMember, { diskId, name }: ModelMachine): void {
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
        return this.#next(voters, learners, id, raft)?.();
    }
  }

  /** Whether a disk may be lost: in every set that matters a majority of disks is left. */
  mayLose(machine: ModelMachine): boolean {
    const left = this.#machines.filter((one) => one !== machine);
    const members = [...this.#observer.relevantMembers(), ...this.#observer.laterMembers()];
    return members.flatMap((one) => MemberSets.of(one)).every((voters) => MemberSteps.#isMajority(left, voters));
  }

  text(): string {
    return [...this.#leaving].join(";");
  }

  /** What the change under way needs next: who leaves is replaced first. */
  #next(
    voters: StoreMember[],
    learners: StoreMember[],
    id: string,
    raft: ModelMember["raft"],
  ): (() => void) | undefined {
    const out = voters.find((one) => this.#leaving.has(one.id) && one.id !== id);
    if (out === undefined) return undefined;
    const ready = learners.find((one) => raft.matchOf(one.id).match > 0);
    if (ready !== undefined && MemberSteps.#isMajority(this.#machines, [...voters, ready]))
      return () => raft.changeMembers([...voters, ready], MemberSteps.#without(learners, ready.id));
    if (voters.length > this.#wanted) {
      return () => {
        this.#coverage.count(`event: ${this.#leaving.get(out.id)} carried out`);
        raft.changeMembers(MemberSteps.#without(voters, out.id), learners);
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
