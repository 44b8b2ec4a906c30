import { create, toBinary } from "@bufbuild/protobuf";
import { StoreCommandSchema, type Kv } from "@cranetrack/core/gen/cranetrack_pb.js";
import { DrainKey } from "@cranetrack/core/keys/drainKey.js";
import type { ActionKind } from "./action.js";
import { MemberSets } from "./memberSets.js";
import type { ModelMachine } from "./modelMachine.js";
import type { ModelMember } from "./modelMember.js";

/**
 * What happens around the code that tends the members in production: machines ask to join, operators want machines
 * drained, and change their minds. What is done about it that code decides.
 */
export class MaintenanceSteps {
  readonly #machines: readonly ModelMachine[];
  readonly #wanted: number;

  constructor(machines: readonly ModelMachine[], wanted: number) {
    this.#machines = machines;
    this.#wanted = wanted;
  }

  /** `join` happens on the machine that asks, the others on the leader. */
  isEnabled(kind: ActionKind, member: ModelMember, other: ModelMachine): boolean {
    switch (kind) {
      case "join":
        return this.#mayJoin(member, other);
      case "drain":
        return (
          member.raft.isLeader && !MaintenanceSteps.#isDrained(member, other) && this.#drainedBy(member) < this.#most
        );
      case "undrain":
        return member.raft.isLeader && MaintenanceSteps.#isDrained(member, other);
      default:
        return false;
    }
  }

  take(kind: ActionKind, member: ModelMember, other: ModelMachine): void {
    const key = DrainKey.of(other.name);
    const put = { key, value: DrainKey.write() } as Partial<Kv> as Kv;
    if (kind === "join") return MaintenanceSteps.#join(member, other.member!);
    const txn = { checks: [], puts: kind === "drain" ? [put] : [], deletes: kind === "drain" ? [] : [key] };
    const command = create(StoreCommandSchema, { command: { case: "txn", value: txn } });
    void member.raft.propose(toBinary(StoreCommandSchema, command));
  }

  /** As the store's service does it: only a confirmed leader answers. */
  static #join({ id, name }: ModelMember, { raft, changes }: ModelMember): void {
    void raft.confirm().then((isConfirmed) => {
      if (isConfirmed) changes?.join({ id, name } as Parameters<typeof changes.join>[0]);
    });
  }

  #mayJoin({ id }: ModelMember, { member: leader }: ModelMachine): boolean {
    if (leader?.isRunning !== true || !leader.raft.isLeader) return false;
    const { members } = leader.raft;
    return ![...MemberSets.of(members).flat(), ...members.learners].some((one) => one.id === id);
  }

  /** So many machines are left that all votes find a place. */
  get #most(): number {
    return this.#machines.length - this.#wanted;
  }

  #drainedBy(leader: ModelMember): number {
    return this.#machines.filter((machine) => MaintenanceSteps.#isDrained(leader, machine)).length;
  }

  static #isDrained({ raft }: ModelMember, { name }: ModelMachine): boolean {
    return raft.metadata.get(DrainKey.of(name)) !== undefined;
  }
}
