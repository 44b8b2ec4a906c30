import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import type { ActionKind } from "./action.js";
import { MemberSets } from "./memberSets.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";

/**
 * Inputs of the production code that maintains the membership: machines ask to join, and operators drain machines or
 * cancel a drain. That code decides what to do about them.
 */
export class MaintenanceSteps {
  readonly #machines: readonly ModelMachine[];
  readonly #voterTarget: number;

  constructor(machines: readonly ModelMachine[], voterTarget: number) {
    this.#machines = machines;
    this.#voterTarget = voterTarget;
  }

  /** `join` happens on the machine that asks, the other kinds on the leader. */
  isEnabled(kind: ActionKind, member: ModelMember, other: ModelMachine): boolean {
    switch (kind) {
      case "join":
        return this.#mayJoin(member, other);
      case "drain":
        return (
          member.raft.isLeader &&
          !MaintenanceSteps.#isDrained(member, other) &&
          this.#drainedCount(member) < this.#maxDrained
        );
      case "undrain":
        return member.raft.isLeader && MaintenanceSteps.#isDrained(member, other);
      default:
        return false;
    }
  }

  perform(kind: ActionKind, member: ModelMember, other: ModelMachine): void {
    const key = DrainKey.of(other.name);
    const put = { key, value: DrainKey.write() } as Partial<Kv> as Kv;
    if (kind === "join") return MaintenanceSteps.#join(member, other.member!);
    const txn = { checks: [], puts: kind === "drain" ? [put] : [], deletes: kind === "drain" ? [] : [key] };
    const command = create(StoreCommandSchema, { command: { case: "txn", value: txn } });
    void member.raft.propose(toBinary(StoreCommandSchema, command));
  }

  /** Handles a join like the store's service: only a leader with confirmed leadership accepts it. */
  static #join({ id, name }: ModelMember, { raft, changes }: ModelMember): void {
    void raft.confirm().then((isConfirmed) => {
      if (isConfirmed) changes?.join({ id, name } as Parameters<typeof changes.join>[0]);
    });
  }

  #mayJoin({ id }: ModelMember, { member: leader }: ModelMachine): boolean {
    if (leader?.isRunning !== true || !leader.raft.isLeader) return false;
    const { members } = leader.raft;
    return ![...MemberSets.of(members).flat(), ...members.learners].some((member) => member.id === id);
  }

  /** Most machines that may be drained: enough for all voters must remain. */
  get #maxDrained(): number {
    return this.#machines.length - this.#voterTarget;
  }

  #drainedCount(leader: ModelMember): number {
    return this.#machines.filter((machine) => MaintenanceSteps.#isDrained(leader, machine)).length;
  }

  static #isDrained({ raft }: ModelMember, { name }: ModelMachine): boolean {
    return raft.metadata.get(DrainKey.of(name)) !== undefined;
  }
}
