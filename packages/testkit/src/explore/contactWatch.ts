import type { Frame } from "@cranetrack/core/gen/cranetrack_pb.js";
import { MemberSets } from "./memberSets.js";
import { modelBounds, type ModelMember } from "./modelMember.js";
import { Violation } from "./violation.js";

/**
 * Records the contacts that a process had, by its own clock, and compares them with its own claim (`isInTouch`).
 * Property checked: a process claims to be in touch only within `inTouchMs` of a leader's message after which it has
 * applied all that the leader had committed then, or, as leader, of replies from a majority of every voter set.
 */
export class ContactWatch {
  static readonly inTouchMs = modelBounds.electionMs * 1.3;

  readonly #member: ModelMember;
  /** When the last append arrived whose commits this process has applied. */
  #currentAt = -Infinity;
  /** The last append that arrived in this step: its time and the leader's commit index. */
  #lastContact: { at: number; commit: number } | undefined;
  /** When each other member last replied, or when the leader began to count it. */
  readonly #answeredAt = new Map<string, number>();
  #ledTerm = 0;

  constructor(member: ModelMember) {
    this.#member = member;
  }

  /** A frame arrived at the process. */
  recordFrame({ body }: Frame): void {
    const { raft, clock } = this.#member;
    if (body.case === "append" && body.value.term >= raft.term)
      this.#lastContact = { at: clock.now(), commit: body.value.commit };
    if (body.case === "appendReply" && body.value.term === raft.term)
      this.#answeredAt.set(body.value.sender, clock.now());
  }

  /** @throws Violation if the process claims to be in touch without recent contact. */
  check(): void {
    const { raft, clock, name } = this.#member;
    if (this.#member.isActingLeader) this.#trackAnsweringMembers();
    if (this.#lastContact !== undefined && raft.commitIndex >= this.#lastContact.commit)
      this.#currentAt = this.#lastContact.at;
    this.#lastContact = undefined;
    if (!raft.isInTouch) return;
    const sinceContactMs = this.#member.isActingLeader ? this.#sinceMajorityMs() : clock.now() - this.#currentAt;
    if (sinceContactMs >= ContactWatch.inTouchMs)
      throw new Violation(
        "in touch only with a majority",
        `${name} claims to be in touch ${sinceContactMs} ms after the last contact`,
      );
  }

  /** Updates the members counted by a leader; a new one is treated as if it had just replied. */
  #trackAnsweringMembers(): void {
    const { raft, clock } = this.#member;
    if (raft.term !== this.#ledTerm) this.#answeredAt.clear();
    this.#ledTerm = raft.term;
    const ids = [...MemberSets.of(raft.members).flat(), ...raft.members.learners].map((member) => member.id);
    for (const id of this.#answeredAt.keys()) if (!ids.includes(id)) this.#answeredAt.delete(id);
    for (const id of ids) if (!this.#answeredAt.has(id)) this.#answeredAt.set(id, clock.now());
  }

  #sinceMajorityMs(): number {
    const now = this.#member.clock.now();
    const sinceReplyMs = (id: string): number =>
      id === this.#member.id ? 0 : now - (this.#answeredAt.get(id) ?? -Infinity);
    const sets = MemberSets.of(this.#member.raft.members);
    return Math.max(
      ...sets.map((set) => {
        const ages = set.map((member) => sinceReplyMs(member.id)).sort((a, b) => a - b);
        return ages[Math.floor(set.length / 2)] ?? Infinity;
      }),
    );
  }
}
